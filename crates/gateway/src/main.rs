//! The `storage-gateway` binary: parses the command line and runs the gateway.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use storage_gateway::config::{self, Config};
use storage_gateway::event_loop::{Gateway, GatewayError};
use storage_gateway::{inventory, logger};

/// Printed by `--help`, and on standard error if the command line is invalid.
const USAGE: &str = "\
usage: storage-gateway                          run with the file that ROUTER_CONFIG names
       storage-gateway --config FILE            run with an operator's file and open a console
       storage-gateway --config FILE --check    check an operator's file and its inventory, and exit
";

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CliCommand {
    /// Serve with the configuration file that `ROUTER_CONFIG` names.
    ServeFromEnvironment,
    /// Serve with an operator's configuration file and open the console.
    ServeWithOperatorFile(PathBuf),
    /// Check an operator's configuration file and its inventory, then exit.
    Check(PathBuf),
    /// Print [`USAGE`].
    Help,
}

impl CliCommand {
    /// Parses the arguments that follow the program's name. Returns `None` if they are invalid.
    fn parse(arguments: &[String]) -> Option<CliCommand> {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        match arguments.as_slice() {
            [] => Some(CliCommand::ServeFromEnvironment),
            ["--help" | "-h"] => Some(CliCommand::Help),
            ["--config", file] => Some(CliCommand::ServeWithOperatorFile(file.into())),
            ["--config", file, "--check"] | ["--check", "--config", file] => {
                Some(CliCommand::Check(file.into()))
            }
            _ => None,
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(command) = CliCommand::parse(&arguments) else {
        eprint!("{USAGE}");
        return ExitCode::from(EXIT_USAGE);
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("storage-gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command. The commands that serve return once the gateway has shut down.
fn run(command: CliCommand) -> Result<(), GatewayError> {
    match command {
        CliCommand::Help => {
            print!("{USAGE}");
            Ok(())
        }
        CliCommand::ServeFromEnvironment => serve_from_environment(),
        CliCommand::ServeWithOperatorFile(file) => serve_with_operator_file(&file),
        CliCommand::Check(file) => check(&file),
    }
}

/// Serves with the configuration file that `ROUTER_CONFIG` names, until the gateway has shut down.
fn serve_from_environment() -> Result<(), GatewayError> {
    let config = config::from_env(|key| std::env::var(key).ok())?;
    create_gateway(config)?.run()?;
    Ok(())
}

/// Serves with an operator's configuration file and a console, until the gateway has shut down.
fn serve_with_operator_file(file: &Path) -> Result<(), GatewayError> {
    let mut gateway = create_gateway(config::from_file(file)?)?;
    gateway.open_console()?;
    gateway.run()?;
    Ok(())
}

/// Checks an operator's configuration file and its inventory, and prints a summary if both are
/// valid.
fn check(file: &Path) -> Result<(), GatewayError> {
    let config = config::from_file(file)?;
    let nodes = match &config.inventory {
        Some(path) => inventory::read(path)?,
        None => Vec::new(),
    };
    println!(
        "configuration is valid: {}, {} nodes in the inventory",
        file.display(),
        nodes.len()
    );
    Ok(())
}

/// Installs the logger and creates the gateway.
fn create_gateway(config: Config) -> Result<Gateway, GatewayError> {
    logger::install(config.log_level);
    log::info!("starting {}", config.name);
    Gateway::new(config)
}
