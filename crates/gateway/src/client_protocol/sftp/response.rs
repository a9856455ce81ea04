//! Handling of responses to submitted requests, which complete pending commands.

use super::command::{encode_attributes, encode_handle};
use super::directory::{encode_next_entries, Directory, PendingListing};
use super::error::SftpError;
use super::handle::Handle;
use super::path::Target;
use super::SftpProtocol;
use crate::sftp_packet::{encode_status, StatusCode};
use crate::storage_request::{Response, ResponseBody, SlotNumber};
use deployment_settings::milliseconds;

/// A command whose requests are in flight.
pub(super) struct PendingCommand {
    /// The request id that the client gave the command; the reply repeats it.
    pub(super) request_id: u32,
    /// What the responses complete.
    pub(super) operation: PendingOperation,
}

/// The operation that the responses to a command's requests complete.
pub(super) enum PendingOperation {
    /// OPEN of an object to read.
    Open(Target),
    /// STAT or LSTAT of an object.
    Stat(Target),
    /// CLOSE of an upload.
    Store {
        /// The object.
        target: Target,
        /// Size of the object in bytes.
        size: u64,
    },
    /// READDIR of a volume.
    List(PendingListing),
}

impl SftpProtocol {
    /// Handles a response to a request of the command at `slot`. Returns the encoded reply if it completes the
    /// command.
    pub(super) fn handle_response(
        &mut self,
        slot: SlotNumber,
        response: Response,
    ) -> Option<Vec<u8>> {
        let PendingCommand {
            request_id,
            operation,
        } = self.pending.remove(&slot)?;
        let body = match served_body(response) {
            Ok(body) => body,
            Err(error) => {
                self.abandon(&operation);
                return Some(error.to_status(request_id));
            }
        };
        let reply = match operation {
            PendingOperation::Open(target) => self.finish_open(request_id, &target, body),
            PendingOperation::Stat(target) => self.finish_stat(request_id, &target, &body),
            PendingOperation::Store { target, size } => {
                self.finish_store(request_id, &target, size, &body)
            }
            PendingOperation::List(mut listing) => {
                listing.add_shard(body);
                if listing.remaining_shards > 0 {
                    let operation = PendingOperation::List(listing);
                    self.pending.insert(
                        slot,
                        PendingCommand {
                            request_id,
                            operation,
                        },
                    );
                    return None;
                }
                self.finish_listing(request_id, listing)
            }
        };
        Some(reply.unwrap_or_else(|error| error.to_status(request_id)))
    }

    /// Undoes the state changes of an operation whose request failed.
    fn abandon(&mut self, operation: &PendingOperation) {
        if let PendingOperation::List(listing) = operation {
            if let Ok(directory) = self.handles.directory_mut(listing.handle) {
                directory.reset_listing();
            }
        }
    }

    /// Completes OPEN: the fetched object is buffered under a new handle.
    fn finish_open(
        &mut self,
        request_id: u32,
        target: &Target,
        body: ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        let value = match body {
            ResponseBody::Value(value) => value,
            ResponseBody::NotFound => return Err(SftpError::NoSuchFile),
            ResponseBody::Size(_) | ResponseBody::Entries(_) => return Err(SftpError::Failed),
        };
        self.shared.record_size(target, value.len() as u64);
        let number = self.handles.insert(Handle::Reading(value))?;
        Ok(encode_handle(request_id, number))
    }

    /// Completes STAT. A RESP2 node has no such command: it is read from and responds with the object itself.
    fn finish_stat(
        &self,
        request_id: u32,
        target: &Target,
        body: &ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        let size = match body {
            ResponseBody::Value(value) => value.len() as u64,
            ResponseBody::Size(size) => *size,
            ResponseBody::Entries(_) => 0,
            ResponseBody::NotFound => return Err(SftpError::NoSuchFile),
        };
        self.shared.record_size(target, size);
        Ok(encode_attributes(request_id, Some(size)))
    }

    /// Completes the CLOSE of an upload of `size` bytes.
    fn finish_store(
        &self,
        request_id: u32,
        target: &Target,
        size: u64,
        body: &ResponseBody,
    ) -> Result<Vec<u8>, SftpError> {
        if *body == ResponseBody::NotFound {
            return Err(SftpError::NoSuchFile);
        }
        self.shared.record_size(target, size);
        Ok(encode_status(request_id, StatusCode::Ok, ""))
    }

    /// Completes the first READDIR of a volume: replies with the first entries and keeps the others for later
    /// READDIR commands on the handle.
    fn finish_listing(
        &mut self,
        request_id: u32,
        listing: PendingListing,
    ) -> Result<Vec<u8>, SftpError> {
        let directory = self.handles.directory_mut(listing.handle)?;
        let mut entries = listing.into_sorted_entries();
        let reply = encode_next_entries(request_id, &mut entries);
        *directory = Directory::Listed(entries);
        reply
    }
}

/// The body of a served request, or the error with which the client is answered.
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
