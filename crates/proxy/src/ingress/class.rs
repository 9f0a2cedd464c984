//! Classifies datagrams by their first bytes, to decide which ones to drop first.

use tanager_core::ServiceId;

// Protobuf tags of the fields of a caller's datagram: field number and wire type.
const VERSION_TAG: u8 = 0x08;
const SERVICE_TAG: u8 = 0x10;
const KEEPALIVE_TAG: u8 = 0x22;

/// Service and kind of a datagram, read from its first bytes. It determines only which datagrams
/// are dropped; one whose content differs is refused as malformed when it is decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DatagramClass {
    pub(super) service: ServiceId,
    pub(super) keepalive: bool,
}

impl DatagramClass {
    /// Reads version, service and the kind of body in the order in which they are encoded. Costs a
    /// few nanoseconds; decoding allocates.
    pub(super) fn peek(mut bytes: &[u8]) -> Option<Self> {
        if let [VERSION_TAG, rest @ ..] = bytes {
            (_, bytes) = varint(rest)?;
        }
        let mut service = 0;
        if let [SERVICE_TAG, rest @ ..] = bytes {
            (service, bytes) = varint(rest)?;
        }
        Some(Self {
            service: ServiceId::new(service),
            keepalive: *bytes.first()? == KEEPALIVE_TAG,
        })
    }
}

/// Returns a varint of up to 32 bits and the bytes after it.
fn varint(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let mut value = 0;
    for (i, byte) in bytes.iter().enumerate().take(5) {
        value |= u64::from(byte & 0x7f) << (7 * i);
        if byte & 0x80 == 0 {
            return Some((u32::try_from(value).ok()?, &bytes[i + 1..]));
        }
    }
    None
}
