//! Encoding of replies to successful commands, except for directory entries.

use super::handle_number::HandleNumber;
use crate::sftp_packet::{
    encode_status, FileAttributes, Packet, PacketType, RequestId, StatusCode,
};

/// Encodes a STATUS reply that reports success.
pub(super) fn encode_ok(request_id: RequestId) -> Vec<u8> {
    encode_status(request_id, StatusCode::Ok, "")
}

/// Encodes a HANDLE reply.
pub(super) fn encode_handle(request_id: RequestId, number: HandleNumber) -> Vec<u8> {
    Packet::with_id(PacketType::HANDLE, request_id)
        .string(number.to_bytes())
        .finish()
}

/// Encodes an ATTRS reply.
pub(super) fn encode_attributes(request_id: RequestId, attributes: FileAttributes) -> Vec<u8> {
    Packet::with_id(PacketType::ATTRS, request_id)
        .attributes(attributes)
        .finish()
}

/// Encodes a DATA reply.
pub(super) fn encode_data(request_id: RequestId, data: &[u8]) -> Vec<u8> {
    Packet::with_id(PacketType::DATA, request_id)
        .string(data)
        .finish()
}

/// Encodes a NAME reply with one path: the reply to REALPATH.
pub(super) fn encode_path(request_id: RequestId, path: &str) -> Vec<u8> {
    Packet::with_id(PacketType::NAME, request_id)
        .u32(1)
        .string(path)
        .string(path)
        .attributes(FileAttributes::Directory)
        .finish()
}
