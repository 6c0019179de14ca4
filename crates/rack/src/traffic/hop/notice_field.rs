//! What one node tells another of a backend server, as the last field of a header. Processes of earlier
//! versions ignore it.

use quetzalrack_mesh::model::ServerNotice;

/// What distinguishes the field from others.
const PREFIX: &str = "server=";

/// Encodes the field with the space before it; nothing without a notice, or if the server's id can't be part
/// of a header field.
pub(super) fn encode(notice: Option<&ServerNotice>) -> String {
    let sendable = notice.filter(|notice| {
        let id = &notice.incarnation.id.0;
        id.bytes().all(|byte| byte.is_ascii_graphic())
    });
    sendable.map_or_else(String::new, |notice| format!(" {PREFIX}{notice}"))
}

/// Decodes the field; none if it is another one.
pub(super) fn decode(field: &str) -> Option<ServerNotice> {
    field.strip_prefix(PREFIX)?.parse().ok()
}
