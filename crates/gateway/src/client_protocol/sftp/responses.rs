//! Handling of responses to submitted requests, which complete pending commands.

use super::directory::{encode_next_entries, Directory};
use super::error::SftpError;
use super::handle::Handle;
use super::listing::PendingListing;
use super::path::ObjectTarget;
use super::pending::{PendingCommand, PendingOperation};
use super::replies::{encode_attributes, encode_handle, encode_ok};
use super::session::Session;
use crate::sftp_packet::{FileAttributes, RequestId};
use crate::storage_request::{Response, ResponseBody};
use deployment_settings::milliseconds;

/// The state of a command after a response to one of its requests.
pub(super) enum CommandProgress {
    /// The command is complete; send this encoded packet as the reply.
    Completed(Vec<u8>),
    /// The command is waiting for the responses to its other requests.
    Pending(PendingCommand),
}

impl Session {
    /// Handles the response to one of a command's requests.
    pub(super) fn handle_response(
        &mut self,
        command: PendingCommand,
        response: Response,
    ) -> CommandProgress {
        match served_body(response) {
            Ok(body) => self.handle_body(command, body),
            Err(error) => {
                self.revert_state_changes(&command.operation);
                CommandProgress::Completed(error.to_status(command.request_id))
            }
        }
    }

    /// Handles the body of a served request.
    fn handle_body(&mut self, command: PendingCommand, body: ResponseBody) -> CommandProgress {
        let PendingCommand {
            request_id,
            operation,
        } = command;
        let reply = match operation {
            PendingOperation::Open(target) => self.finish_open(request_id, &target, body),
            PendingOperation::Stat(target) => self.finish_stat(request_id, &target, &body),
            PendingOperation::CloseUpload { target, size } => {
                self.finish_upload(request_id, &target, size, &body)
            }
            PendingOperation::List(mut listing) => {
                listing.add_response(body);
                if !listing.is_complete() {
                    let operation = PendingOperation::List(listing);
                    return CommandProgress::Pending(PendingCommand {
                        request_id,
                        operation,
                    });
                }
                self.finish_listing(request_id, listing)
            }
        };
        CommandProgress::Completed(reply.unwrap_or_else(|error| error.to_status(request_id)))
    }

    /// Reverts the state changes of an operation after one of its requests failed.
    fn revert_state_changes(&mut self, operation: &PendingOperation) {
        if let PendingOperation::List(listing) = operation {
            if let Ok(directory) = self.handles.directory_mut(listing.handle()) {
                directory.reset_listing();
            }
        }
    }

    /// Completes OPEN for reading: buffers the fetched object under a new handle and replies with
    /// the handle.
    fn finish_open(
        &mut self,
        request_id: RequestId,
        target: &ObjectTarget,
        body: ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        let value = match body {
            ResponseBody::Value(value) => value,
            ResponseBody::NotFound => return Err(SftpError::NoSuchFile),
            // No node protocol returns these for a read.
            ResponseBody::Size(_) | ResponseBody::Entries(_) => return Err(SftpError::Failed),
        };
        let size = value.len() as u64;
        self.shared.object_sizes.record(target, size);
        let number = self.handles.insert(Handle::Download(value))?;
        Ok(encode_handle(request_id, number))
    }

    /// Completes STAT. RESP2 has no such command, so a RESP2 node is sent a read and returns the
    /// object itself.
    fn finish_stat(
        &self,
        request_id: RequestId,
        target: &ObjectTarget,
        body: &ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        let size = match body {
            ResponseBody::Value(value) => value.len() as u64,
            ResponseBody::Size(size) => *size,
            // No node protocol returns entries for a STAT or a read.
            ResponseBody::Entries(_) => 0,
            ResponseBody::NotFound => return Err(SftpError::NoSuchFile),
        };
        self.shared.object_sizes.record(target, size);
        let attributes = FileAttributes::RegularFile { size };
        Ok(encode_attributes(request_id, attributes))
    }

    /// Completes the CLOSE of an upload of `size` bytes.
    fn finish_upload(
        &self,
        request_id: RequestId,
        target: &ObjectTarget,
        size: u64,
        body: &ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        // No node protocol returns this for a write: if a file server replies "no such file", the
        // write fails.
        if *body == ResponseBody::NotFound {
            return Err(SftpError::NoSuchFile);
        }
        self.shared.object_sizes.record(target, size);
        Ok(encode_ok(request_id))
    }

    /// Completes the first READDIR on the handle of a volume: replies with the first entries and
    /// keeps the others for later READDIR commands on the handle.
    fn finish_listing(
        &mut self,
        request_id: RequestId,
        listing: PendingListing,
    ) -> Result<Vec<u8>, SftpError> {
        let directory = self.handles.directory_mut(listing.handle())?;
        let mut entries = listing.into_sorted_entries();
        let reply = encode_next_entries(request_id, &mut entries);
        *directory = Directory::Listed(entries);
        reply
    }
}

/// Returns the body of a served request, or the error to send to the client.
fn served_body(response: Response) -> Result<ResponseBody, SftpError> {
    match response {
        Response::Served(body) => Ok(body),
        Response::Rejected { retry_after } => Err(SftpError::Rejected {
            retry_after_ms: milliseconds(retry_after).ceil(),
        }),
        Response::Invalid(error) => Err(SftpError::Invalid(error)),
        Response::Failed => Err(SftpError::Failed),
        Response::TimedOut => Err(SftpError::TimedOut),
    }
}
