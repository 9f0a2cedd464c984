//! Settings of an instance: read from YAML, checked as a whole, then immutable.

mod checked;
mod problem;
mod raw;

pub use checked::{LogFormat, LogSettings, PlatformSettings, Settings};
pub use problem::Problem;
pub use raw::RawSettings;

#[cfg(test)]
mod tests;
