//! Executes the statements of a scenario.

use super::error::ScenarioError;
use super::scenario::{Scenario, GATEWAY};
use crate::harness::connection::ConnectionEnd;

/// Runs the scenario `text` and returns its transcript; panics at the first statement that fails.
#[track_caller]
pub fn run_scenario(name: &str, text: &str) -> String {
    let mut scenario = Scenario::new();
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        if let Err(error) = scenario.run_statement(line) {
            panic!(
                "{name}: {line}: {error}\ntranscript so far:\n{}",
                scenario.transcript
            );
        }
    }
    scenario.transcript
}

impl Scenario {
    /// Executes one line: a statement, a peer or other first argument, and further arguments.
    fn run_statement(&mut self, line: &str) -> Result<(), ScenarioError> {
        let words: Vec<&str> = line.split(' ').collect();
        let peer_name = words.get(1).copied().unwrap_or_default();
        let arguments = words.get(2..).unwrap_or_default();
        match words[0] {
            "node" => self.declare_node(peer_name, arguments)?,
            "start" => self.start_gateway(peer_name, arguments.first().copied()),
            "mark_restarted" => self.mark_node_restarted(peer_name),
            "move_discovery" => self.move_discovery(),
            "write_invalid_config" => self.write_invalid_config(),
            "send" => self.send(peer_name, arguments),
            "connect" => drop(self.peer(peer_name)),
            "expect" => self.expect_message(peer_name, &arguments.join(" "))?,
            "close" => self.close_connections(peer_name),
            "wait_for_exit" if peer_name == GATEWAY => self.wait_for_exit(),
            "wait_for_close" => self.wait_for_close(peer_name)?,
            other => return Err(ScenarioError::UnknownStatement(other.to_owned())),
        }
        Ok(())
    }

    /// Waits for the next message to the peer, which must equal `expected` unless that is empty.
    fn expect_message(&mut self, name: &str, expected: &str) -> Result<(), ScenarioError> {
        let message = self.peer(name).receive()?;
        if !expected.is_empty() && message != expected {
            return Err(ScenarioError::UnexpectedMessage(message));
        }
        self.record(&format!("{name} < {message}"));
        Ok(())
    }

    /// Waits until the gateway closes a connection of the peer.
    fn wait_for_close(&mut self, name: &str) -> Result<(), ScenarioError> {
        let end = match self.peer(name).wait_for_close()? {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
        };
        self.record(&format!("{name} is {end}"));
        Ok(())
    }

    /// Waits until the gateway process has exited.
    fn wait_for_exit(&mut self) {
        let status = self.gateway().process.wait_for_exit();
        self.record(&format!("gateway ended, {status}"));
    }

    /// Closes all connections of the peer.
    fn close_connections(&mut self, name: &str) {
        self.peer(name).close_connections();
        self.record(&format!("{name} closes"));
    }
}
