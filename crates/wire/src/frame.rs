//! Length-prefixed frames on a byte stream.

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use prost::Message;

use crate::{Error, Result};

/// The largest frame in bytes, without its length prefix. It holds the largest answer and its
/// header.
pub const FRAME_LIMIT: usize = (1 << 20) + 1_024;

/// Bytes of the length prefix, a big-endian `u32`.
const PREFIX_LENGTH: usize = 4;

/// Appends a frame with its length prefix to `buf`.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the frame exceeds [`FRAME_LIMIT`]; `buf` is then unchanged.
pub fn encode_frame<M: Message>(message: &M, buf: &mut BytesMut) -> Result<()> {
    let size = message.encoded_len();
    Error::check_size(size, FRAME_LIMIT)?;
    buf.reserve(PREFIX_LENGTH + size);
    buf.put_u32(u32::try_from(size).map_err(|_| Error::malformed("frame length"))?);
    message.encode(buf).map_err(|_| Error::malformed("frame"))
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: BytesMut,
}

impl FrameReader {
    /// Returns the buffer to read into.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Removes the next complete frame from the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the announced length exceeds [`FRAME_LIMIT`]. The next
    /// frame cannot be located then, so the stream cannot be read any further.
    pub fn read_frame(&mut self) -> Result<Option<Bytes>> {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_LENGTH>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        Error::check_size(size, FRAME_LIMIT)?;
        if self.buf.len() < PREFIX_LENGTH + size {
            self.buf.reserve(PREFIX_LENGTH + size - self.buf.len());
            return Ok(None);
        }
        self.buf.advance(PREFIX_LENGTH);
        Ok(Some(self.buf.split_to(size).freeze()))
    }
}
