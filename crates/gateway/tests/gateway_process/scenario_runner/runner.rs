//! Runs a scenario line by line.

use super::error::ScenarioError;
use super::scenario::{Scenario, GATEWAY};
use crate::harness::connection::ConnectionEnd;

/// Runs a scenario and returns its transcript.
#[track_caller]
pub fn run_scenario(name: &str, text: &str) -> String {
    let mut scenario = Scenario::new();
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        if let Err(error) = scenario.run_line(line) {
            panic!(
                "{name}: {line}: {error}\ntranscript so far:\n{}",
                scenario.transcript
            );
        }
    }
    scenario.transcript
}

impl Scenario {
    /// Runs a line: a verb, the peer that it is about, and arguments.
    fn run_line(&mut self, line: &str) -> Result<(), ScenarioError> {
        let words: Vec<&str> = line.split(' ').collect();
        let subject = words.get(1).copied().unwrap_or_default();
        let arguments = words.get(2..).unwrap_or_default();
        match words[0] {
            "node" => self.declare_node(subject, arguments)?,
            "start" => self.start_gateway(subject, arguments.first().copied()),
            "node_restarted" => self.restart_node(subject),
            "move_discovery" => self.move_discovery(),
            "invalidate_config" => self.invalidate_config(),
            "send" => self.send(subject, arguments),
            "open" => drop(self.peer(subject)),
            "expect" => self.expect_message(subject, &arguments.join(" "))?,
            "close" => self.close_connections(subject),
            "wait" if subject == GATEWAY => self.wait_for_exit(),
            "wait" => self.wait_for_end(subject)?,
            other => return Err(ScenarioError::UnknownVerb(other.to_owned())),
        }
        Ok(())
    }

    /// The next message to the peer must be this one, or any if it is empty.
    fn expect_message(&mut self, name: &str, expected: &str) -> Result<(), ScenarioError> {
        let message = self.peer(name).receive()?;
        if !expected.is_empty() && message != expected {
            return Err(ScenarioError::UnexpectedMessage(message));
        }
        self.record(&format!("{name} < {message}"));
        Ok(())
    }

    /// Waits until the gateway closes a connection to the peer.
    fn wait_for_end(&mut self, name: &str) -> Result<(), ScenarioError> {
        let end = match self.peer(name).wait_for_end()? {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
        };
        self.record(&format!("{name} is {end}"));
        Ok(())
    }

    /// Waits until the gateway has ended.
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
