//! Plays bursts in which targets vanish with many seeds, and prints what callers saw. Run it before and
//! after a change of a policy:
//!
//! ```text
//! cargo run --release -p tanager-standins --example bursts -- [--seeds 200] [--instances 8]
//!     [--targets 18] [--rate 300] [--burst 1.7] [--vanish 0.2] [--loss 0]
//! ```

use std::time::Duration;

use miette::{IntoDiagnostic as _, Result};
use pico_args::Arguments;
use tanager_standins::model::{Report, Settings, simulate};

/// When the burst and the loss of targets begin.
const BEGIN: Duration = Duration::from_secs(2);
/// How long the burst lasts.
const BURST: Duration = Duration::from_secs(3);

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    let seeds: u64 = option(&mut arguments, "--seeds", 200)?;
    let burst = option(&mut arguments, "--burst", 1.7)?;
    let vanish = option(&mut arguments, "--vanish", 0.2)?;
    let settings = Settings {
        instances: option(&mut arguments, "--instances", 8)?,
        targets: option(&mut arguments, "--targets", 18)?,
        rate: option(&mut arguments, "--rate", 300.0)?,
        burst: Some((BEGIN, BURST, burst)),
        vanish: Some((BEGIN, vanish)),
        loss: option(&mut arguments, "--loss", 0.0)?,
        ..Settings::default()
    };
    let mut sum = Report::default();
    for seed in 0..seeds {
        sum.add(&simulate(&settings, seed));
    }
    println!("{sum}");
    Ok(())
}

fn option<T>(arguments: &mut Arguments, name: &'static str, default: T) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let given = arguments.opt_value_from_str(name).into_diagnostic()?;
    Ok(given.unwrap_or(default))
}
