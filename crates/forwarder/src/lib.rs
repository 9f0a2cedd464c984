//! The packet forwarding instance as a library: its sockets, tasks, logs and metrics.
//!
//! `tanager-forward` decides; this crate carries out. What the surrounding platform speaks is
//! behind two traits: [`PacketFormat`] reads and writes packets, [`Source`] reads what is
//! published. All tasks run on one thread.

mod clients;
mod error;
mod http;
mod instance;
mod pages;
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
pub use http::HttpClient;
pub use run::{Signals, run};
pub use source::{Page, Publication, Reading, Source};
