//! Connections between instances: heartbeats, catalogue transfer, and relay to executors.

mod client;
mod connection;
mod network;
mod server;
mod service;

pub use client::Peers;
pub use network::{Connecting, Network, PeerStream, TcpNetwork};
pub use server::{PeerHandler, serve};
pub use service::{Heartbeat, Peer, PeerClient, RelayReply, Relayed};

#[cfg(test)]
mod client_tests;
