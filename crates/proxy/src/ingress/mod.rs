//! The receive loop for callers' datagrams: several datagrams per wake-up of its task, a bounded
//! share for each service while the loop is saturated, and dispatch to flows and execution.

mod class;
mod receive;
mod shares;

#[cfg(test)]
mod tests;

pub use receive::Ingress;
