//! The packet forwarding instance as a library: its sockets, tasks, logs and metrics.
//!
//! `tanager-forward` decides what happens to each packet; this crate does the I/O. Two traits hide
//! the formats and protocols of the surrounding platform: [`PacketFormat`] decodes and encodes
//! packets, [`Source`] reads the published targets and routes. All tasks run on one thread.

mod clients;
mod datagram;
mod error;
mod flow_messages;
#[cfg(test)]
mod flow_messages_tests;
mod grants;
mod http;
mod instance;
mod metrics;
mod pages;
mod pause;
#[cfg(test)]
mod pause_tests;
mod peers;
mod reader;
#[cfg(test)]
mod reader_tests;
mod reload;
mod report;
mod run;
mod source;

pub use clients::PacketFormat;
pub use error::{Error, Result};
pub use http::{Answer, HttpClient};
pub use run::{Signals, run};
pub use source::{Page, Publication, PublicationBatch, Source};
