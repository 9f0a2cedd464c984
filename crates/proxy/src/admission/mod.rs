//! Limits of owners and services, waiting queues and concurrency.

mod control;

pub use control::{Admission, Permit};
