//! Configurations and inventories: the examples are valid, and errors name the key or the line at
//! fault.

use crate::support::settings::SETTINGS_JSON;
use std::path::Path;
use storage_gateway::config::{self, Config, ConfigError, Precedence};
use storage_gateway::inventory;

/// Headings of an inventory in CSV.
const HEADINGS: &str = "name,address,shard,protocol\n";

/// Loads a configuration of the platform from its text, with an empty environment.
fn load_router_config(text: String) -> Result<Config, ConfigError> {
    config::parse_router_config(
        &mut text.into_bytes(),
        Path::new("f"),
        |_variable| None,
        Precedence::Environment,
    )
}

/// The error that a configuration of the platform is rejected with.
fn router_config_error(text: String) -> String {
    load_router_config(text)
        .expect_err("an invalid configuration")
        .to_string()
}

/// The error that an inventory in CSV is rejected with.
fn csv_error(text: &str) -> String {
    inventory::from_csv(text, "f")
        .expect_err("an invalid inventory")
        .to_string()
}

/// The error that an inventory in YAML is rejected with.
fn yaml_error(text: &str) -> String {
    inventory::from_yaml(text, "f")
        .expect_err("an invalid inventory")
        .to_string()
}

#[test]
fn examples_are_valid_and_both_inventory_formats_agree() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let config = config::from_file(&deploy.join("operator.example.json")).expect("a valid example");
    let yaml = inventory::read(&config.inventory.expect("the example names an inventory"))
        .expect("a valid inventory");
    let csv = inventory::read(&deploy.join("inventory.example.csv")).expect("a valid inventory");
    assert_eq!(yaml, csv);
    assert_eq!(yaml.len(), 3);
}

#[test]
fn memory_budget_is_proportional_to_the_configured_memory() {
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
        load_router_config(text)
            .map(|config| config.memory_budget)
            .map_err(|error| error.to_string())
    };
    let small = budget(r#"{"memory_mb":32,"sockets":256}"#).expect("32 MB are enough");
    let total = small.request_body_bytes
        + small.unsent_reply_bytes
        + small.partial_command_bytes
        + small.sftp_file_bytes
        + small.large_response_bytes
        + small.max_value_bytes;
    assert!(
        total < 16 << 20 && small.max_value_bytes >= 400 << 10,
        "{small:?}"
    );
    assert_eq!(
        budget(r#"{"memory_mb":64}"#)
            .expect("64 MB are enough")
            .max_requests,
        2 * small.max_requests
    );
    let too_small = budget(r#"{"memory_mb":1}"#).expect_err("1 MB is too little");
    assert_eq!(
        too_small,
        "limits.memory_mb: invalid value 1; expected a number from 16 to 1048576"
    );
}

#[test]
fn csv_inventory_error_names_the_line_and_the_field() {
    let cases = [
        (
            "name,shard\n".to_owned(),
            "f: header line: required column 'address' is missing",
        ),
        (
            format!("{HEADINGS}a,127.0.0.1:1,0,ftp\n"),
            "f: line 2, protocol: unknown protocol 'ftp'; expected resp2 or sftp",
        ),
        (
            format!("{HEADINGS}a,here,0,sftp\n"),
            "f: line 2, address: invalid address 'here'; expected an IP address and port, such as \
             127.0.0.1:6379",
        ),
        (
            format!("{HEADINGS}a,[::1]:1,0,\n\n# b\na,[::1]:2,1,\n"),
            "f: line 5, name: duplicate node name 'a'; expected a different name for each node",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(csv_error(&text), expected);
    }
    assert!(
        csv_error(&format!("{HEADINGS}a,127.0.0.1:1,x,resp2\n")).starts_with("f: line 2, shard: ")
    );
    assert!(csv_error(&format!("{HEADINGS}a,127.0.0.1:1\n")).starts_with("f: line 2: "));
}

#[test]
fn yaml_inventory_error_names_the_key_or_the_line() {
    assert_eq!(
        yaml_error("g:\n  hosts:\n    a: {shard: 1}\n"),
        "f: g.hosts.a.address: required, but not set"
    );
    assert!(yaml_error("g:\n  hosts: [\n").starts_with("f: line "));
}

#[test]
fn configuration_error_names_the_key() {
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
fn operator_file_error_names_the_file_and_the_key() {
    let example = include_str!("../../../../deploy/operator.example.json");
    let invalid = example.replace("\"sockets\": 1024", "\"sockets\": 4");
    assert_ne!(invalid, example);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operator_with_few_sockets.json");
    std::fs::write(&path, invalid).expect("a writable directory");
    let error = config::from_file(&path).expect_err("an invalid configuration");
    assert_eq!(
        error.to_string(),
        format!(
            "{}: limits.sockets: invalid value 4; expected at least 64",
            path.display()
        )
    );
}
