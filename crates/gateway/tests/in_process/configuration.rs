//! Parsing of configuration files and inventories: the example files are valid, and each error
//! names the key or the line that caused it.

use crate::support::settings::SETTINGS_JSON;
use std::path::Path;
use storage_gateway::config::{self, Config, ConfigError, Precedence};
use storage_gateway::inventory;

/// Header line of an inventory in CSV.
const CSV_HEADER: &str = "name,address,shard,protocol\n";

/// Parses the text of a file that `ROUTER_CONFIG` names. No other environment variable is set.
fn parse_router_config_text(text: String) -> Result<Config, ConfigError> {
    config::parse_router_config(
        &mut text.into_bytes(),
        Path::new("f"),
        |_variable| None,
        Precedence::Environment,
    )
}

/// Returns the error message for the invalid text of a file that `ROUTER_CONFIG` names.
fn router_config_error(text: String) -> String {
    parse_router_config_text(text)
        .expect_err("the configuration should be rejected")
        .to_string()
}

/// Returns the error message for an invalid inventory in CSV.
fn csv_error(text: &str) -> String {
    inventory::from_csv(text, "f")
        .expect_err("the inventory should be rejected")
        .to_string()
}

/// Returns the error message for an invalid inventory in YAML.
fn yaml_error(text: &str) -> String {
    inventory::from_yaml(text, "f")
        .expect_err("the inventory should be rejected")
        .to_string()
}

#[test]
fn example_files_are_valid_and_yaml_and_csv_inventories_are_equal() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let config = config::from_file(&deploy.join("operator.example.json"))
        .expect("the example configuration should be valid");
    let yaml = inventory::read(
        &config
            .inventory
            .expect("the example should name an inventory"),
    )
    .expect("the example inventory should be valid");
    let csv = inventory::read(&deploy.join("inventory.example.csv"))
        .expect("the example inventory should be valid");
    assert_eq!(yaml, csv);
    assert_eq!(yaml.len(), 3);
}

/// Checks that the buffers of a gateway with 32 MiB take less than half of its memory, and that it
/// accepts values of 400 KiB from nodes. Twice the memory must admit twice as many requests, and
/// less than 16 MiB must be rejected.
#[test]
fn memory_budget_is_proportional_to_memory_mb_and_buffers_take_less_than_half() {
    let budget = |limits: &str| {
        let text = format!(
            r#"{{
                "name":"n",
                "listen":"127.0.0.1:1",
                "discovery":"127.0.0.1:2",
                "limits":{limits},
                "settings":{SETTINGS_JSON}
            }}"#
        );
        parse_router_config_text(text)
            .map(|config| config.memory_budget)
            .map_err(|error| error.to_string())
    };
    let small = budget(r#"{"memory_mb":32,"sockets":256}"#).expect("32 MiB should be accepted");
    let total = small.request_bytes
        + small.unsent_reply_bytes
        + small.input_bytes
        + small.sftp_file_bytes
        + small.large_response_bytes
        + small.max_value_bytes;
    assert!(
        total < 16 << 20 && small.max_value_bytes >= 400 << 10,
        "{small:?}"
    );
    assert_eq!(
        budget(r#"{"memory_mb":64}"#)
            .expect("64 MiB should be accepted")
            .max_requests,
        2 * small.max_requests
    );
    let too_small = budget(r#"{"memory_mb":1}"#).expect_err("1 MiB should be rejected");
    assert_eq!(
        too_small,
        "limits.memory_mb: invalid value 1; expected a number from 16 to 1048576"
    );
}

#[test]
fn csv_inventory_error_names_line_and_field() {
    let cases = [
        (
            "name,shard\n".to_owned(),
            "f: header line: required column 'address' is missing",
        ),
        (
            format!("{CSV_HEADER}a,127.0.0.1:1,0,ftp\n"),
            "f: line 2, protocol: unknown protocol 'ftp'; expected resp2 or sftp",
        ),
        (
            format!("{CSV_HEADER}a,here,0,sftp\n"),
            "f: line 2, address: invalid address 'here'; expected an IP address and port, such as \
             127.0.0.1:6379",
        ),
        (
            format!("{CSV_HEADER}a,[::1]:1,0,\n\n# b\na,[::1]:2,1,\n"),
            "f: line 5, name: duplicate node name 'a'; expected a different name for each node",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(csv_error(&text), expected);
    }
    assert!(csv_error(&format!("{CSV_HEADER}a,127.0.0.1:1,x,resp2\n"))
        .starts_with("f: line 2, shard: "));
    assert!(csv_error(&format!("{CSV_HEADER}a,127.0.0.1:1\n")).starts_with("f: line 2: "));
}

#[test]
fn yaml_inventory_error_names_key_or_line() {
    assert_eq!(
        yaml_error("g:\n  hosts:\n    a: {shard: 1}\n"),
        "f: g.hosts.a.address: required, but not set"
    );
    assert!(yaml_error("g:\n  hosts: [\n").starts_with("f: line "));
}

#[test]
fn router_config_error_names_variable_or_key() {
    assert_eq!(
        router_config_error(format!(r#"{{"settings":{SETTINGS_JSON}}}"#)),
        "ROUTER_NAME: not set; expected a value in this variable or in the file that ROUTER_CONFIG \
         names"
    );
    let unknown_effect = SETTINGS_JSON.replace("\"pure\"", "\"sometimes\"");
    assert_eq!(
        router_config_error(format!(r#"{{"settings":{unknown_effect}}}"#)),
        "settings.classes.effect: unknown value 'sometimes'; expected pure, token or side_effect"
    );
    let wrong_type = router_config_error(r#"{"settings":{"plans":[{"pays":"x"}]}}"#.to_owned());
    assert!(wrong_type.starts_with("ROUTER_CONFIG: settings.plans[0].pays:"));
}

#[test]
fn operator_config_error_names_file_and_key() {
    let example = include_str!("../../../../deploy/operator.example.json");
    let invalid = example.replace("\"sockets\": 1024", "\"sockets\": 4");
    assert_ne!(invalid, example);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operator_with_few_sockets.json");
    std::fs::write(&path, invalid).expect("the file should be written");
    let error = config::from_file(&path).expect_err("the configuration should be rejected");
    assert_eq!(
        error.to_string(),
        format!(
            "{}: limits.sockets: invalid value 4; expected at least 64",
            path.display()
        )
    );
}
