//! The receive loop for callers' datagrams: several datagrams for each wake-up, a bounded share for
//! each service while the loop is saturated, and dispatch to flows and execution.

mod class;
mod receive;
mod shares;

#[cfg(test)]
mod tests;

pub use receive::Ingress;
