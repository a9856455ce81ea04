//! Protocol of one RESP2 client connection: selects the handler of each command.

use super::command_parser::parse_arguments;
use super::reply;
use super::request::{build_request, RequestArguments};
use super::schema::RequestSchema;
use crate::client_protocol::{ClientProtocol, EncodedReply, ParsedCommand};
use crate::memory_budget::OVERLOADED_RETRY_AFTER;
use crate::resp_wire_names::command;
use crate::storage_request::{CommandNumber, Operation, Response};
use io_scheduler::Micros;
use std::rc::Rc;

/// Idle time after which a connection is closed, in microseconds. Clients reconnect when they need
/// a connection.
const IDLE_TIMEOUT: Micros = 2_500_000;

/// The protocol of one client connection. It keeps no state between commands, because no command
/// depends on earlier ones.
pub struct RespProtocol {
    /// Class names, plan names and limits against which requests are validated.
    schema: Rc<RequestSchema>,
}

impl RespProtocol {
    /// Creates the protocol of a new connection whose requests are validated against `schema`.
    #[must_use]
    pub fn new(schema: Rc<RequestSchema>) -> RespProtocol {
        RespProtocol { schema }
    }

    /// Executes a complete command, given as its name and arguments: replies to it or submits its
    /// request.
    fn run_command(
        &self,
        name_and_arguments: &[&[u8]],
        has_node_in_service: bool,
    ) -> ParsedCommand {
        let Some((name, arguments)) = name_and_arguments.split_first() else {
            return ParsedCommand::Reply(Vec::new());
        };
        match name.to_ascii_uppercase().as_slice() {
            command::READ => self.read(arguments),
            command::WRITE => self.write(arguments),
            b"PING" if has_node_in_service => fixed_reply(reply::PONG),
            b"PING" => fixed_reply(reply::NOT_READY),
            b"CLIENT" | b"SELECT" => fixed_reply(reply::OK),
            _ => fixed_reply(reply::UNKNOWN_COMMAND),
        }
    }

    /// Handles the command that reads an object.
    fn read(&self, arguments: &[&[u8]]) -> ParsedCommand {
        let [object, client_request_id, parameters] = arguments else {
            return fixed_reply(reply::WRONG_ARGUMENT_COUNT);
        };
        let arguments = RequestArguments {
            object,
            client_request_id,
            parameters,
            body: b"",
        };
        self.submit(Operation::Read, &arguments)
    }

    /// Handles the command that writes an object.
    fn write(&self, arguments: &[&[u8]]) -> ParsedCommand {
        let [object, client_request_id, parameters, body] = arguments else {
            return fixed_reply(reply::WRONG_ARGUMENT_COUNT);
        };
        let arguments = RequestArguments {
            object,
            client_request_id,
            parameters,
            body,
        };
        self.submit(Operation::Write, &arguments)
    }

    /// Builds the request of a command and submits it, or replies with an error if it is invalid.
    fn submit(&self, operation: Operation, arguments: &RequestArguments<'_>) -> ParsedCommand {
        match build_request(&self.schema, operation, arguments) {
            Ok(request) => ParsedCommand::Submit(vec![request]),
            Err(error) => ParsedCommand::Reply(reply::encode_request_error(&error)),
        }
    }
}

/// Replies to a command with fixed bytes.
fn fixed_reply(bytes: &[u8]) -> ParsedCommand {
    ParsedCommand::Reply(bytes.to_vec())
}

impl ClientProtocol for RespProtocol {
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        _command_number: CommandNumber,
        has_node_in_service: bool,
    ) -> ParsedCommand {
        match parse_arguments(input, position) {
            Ok(Some(command)) => self.run_command(&command, has_node_in_service),
            Ok(None) => ParsedCommand::Incomplete,
            Err(error) => ParsedCommand::Close(reply::encode_syntax_error(error)),
        }
    }

    fn encode_response(
        &mut self,
        command_number: CommandNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    ) {
        let bytes = reply::encode_response(response);
        out.push(EncodedReply {
            command_number,
            bytes,
        });
    }

    fn overloaded_reply(&self) -> Vec<u8> {
        reply::encode_rejection(OVERLOADED_RETRY_AFTER)
    }

    fn timeout_reply(&self) -> Vec<u8> {
        reply::INCOMPLETE_COMMAND.to_vec()
    }

    fn idle_timeout(&self) -> Micros {
        IDLE_TIMEOUT
    }
}
