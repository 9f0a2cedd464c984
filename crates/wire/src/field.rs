//! Validating conversions of fields that several messages carry.

use bytes::Bytes;
use tanager_core::{FlowId, RequestId, ResultCode};

use crate::{Error, Result};

pub(crate) fn flow_id(bytes: &Bytes) -> Result<FlowId> {
    FlowId::try_from(bytes.as_ref()).map_err(|_| Error::malformed("flow id"))
}

pub(crate) fn request_id(bytes: &Bytes) -> Result<RequestId> {
    RequestId::try_from(bytes.as_ref()).map_err(|_| Error::malformed("request id"))
}

pub(crate) fn result_code(number: u32) -> Result<ResultCode> {
    let number = u16::try_from(number).ok();
    number
        .and_then(ResultCode::from_number)
        .ok_or(Error::malformed("result code"))
}

/// Returns the wire form of a flow or request id.
pub(crate) fn id_bytes(bytes: &[u8; 16]) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
