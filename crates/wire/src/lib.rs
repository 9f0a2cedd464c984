//! Datagrams between callers and instances, frames between instances and targets, and the signed
//! flow token and return route.
//!
//! The protobuf types in [`raw`] are generated from `schema/` and are not validated. Everything
//! received is converted with `TryFrom` into the checked types of this crate before use.

mod caller;
mod error;
mod field;
mod fragment;
mod frame;
mod key_ring;
mod route;

mod target;
mod token;

/// Generated protobuf types.
#[allow(clippy::pedantic, missing_docs)]
pub mod raw {
    /// Datagrams between callers and instances.
    pub mod caller {
        include!("generated/caller.rs");
    }
    /// Frames between instances and targets.
    pub mod target {
        include!("generated/target.rs");
    }
}

pub use caller::{
    Answer, Cancel, Close, DATAGRAM_LIMIT, Datagram, DatagramBody, Deadline, FlowKind, Keepalive,
    KeepaliveAck, Open, Opened, PROTOCOL_VERSION, Refusal, Request, Reset, Update,
};
pub use error::{Error, Result};
pub use fragment::{ANSWER_LIMIT, Assembly, FRAGMENT_PAYLOAD, FragmentMap, split_answer};
pub use frame::{FRAME_LIMIT, FrameReader, encode_frame};
pub use key_ring::{KeyNumber, KeyRing, SECRET_LENGTH, Secret};
pub use route::Route;
pub use target::{FromTarget, Load, ToTarget};
pub use token::{Binding, Executor, Token, TokenTarget};

#[cfg(test)]
mod tests;
