//! Simulates bursts during which targets fail, with many seeds, and prints the outcomes of the
//! requests. Run it before and after a change of a policy to compare the two:
//!
//! ```text
//! cargo run --release -p tanager-standins --example bursts -- [--seeds 200] [--instances 8]
//!     [--targets 18] [--rate 300] [--burst 1.7] [--vanish 0.2] [--loss 0]
//! ```

use std::time::Duration;

use miette::{IntoDiagnostic as _, Result};
use pico_args::Arguments;
use tanager_standins::model::{Burst, Report, Settings, simulate};

/// Time at which the burst begins and the targets fail.
const BURST_START: Duration = Duration::from_secs(2);
/// Duration of the burst.
const BURST_DURATION: Duration = Duration::from_secs(3);

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    let seeds: u64 = option_or_default(&mut arguments, "--seeds", 200)?;
    let burst = option_or_default(&mut arguments, "--burst", 1.7)?;
    let vanish = option_or_default(&mut arguments, "--vanish", 0.2)?;
    let settings = Settings {
        instances: option_or_default(&mut arguments, "--instances", 8)?,
        targets: option_or_default(&mut arguments, "--targets", 18)?,
        rate: option_or_default(&mut arguments, "--rate", 300.0)?,
        bursts: vec![Burst::new(BURST_START, BURST_DURATION, burst)],
        vanish: Some((BURST_START, vanish)),
        loss: option_or_default(&mut arguments, "--loss", 0.0)?,
        ..Settings::default()
    };
    let mut sum = Report::default();
    for seed in 0..seeds {
        sum.add(&simulate(&settings, seed));
    }
    println!("{sum}");
    Ok(())
}

fn option_or_default<T>(arguments: &mut Arguments, name: &'static str, default: T) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let given = arguments.opt_value_from_str(name).into_diagnostic()?;
    Ok(given.unwrap_or(default))
}
