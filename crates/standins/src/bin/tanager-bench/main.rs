//! Runs experiments against real balancer processes and reports figures and violated guarantees.

mod balancer;
mod changes;
mod chaos;
mod fault;
mod faults;
mod fleet;
mod forwarding;
mod performance;
mod report;

use std::process::ExitCode;

use pico_args::Arguments;
use tanager_standins::program::{self, Failure, ProgramResult};

use crate::report::Report;

const HELP: &str = "\
tanager-bench: experiments against real tanager-balancer processes

Usage: tanager-bench EXPERIMENT [--seed N] [--seconds S] [--json FILE]

Experiments:
  planned-changes   every balancer and many targets are replaced; views are skewed
  balancer-kill     2 of 8 balancers are killed
  execution         non-repeatable requests under loss, duplicates, late datagrams and kills
  flood             10 times the capacity of one kind of work; --kind least|most
  chaos             all faults at random, alone and two at a time
  imbalance         the busiest target over the mean
  control           cost of an instance without traffic; --instances N
  changes           cost and time of changes at the design size of the documents; --instances N
  forwarding        one balancer over a bare UDP relay, and the memory of held flows

Options:
  --seed N        seed of all choices; 1 by default
  --seconds S     time of the load; 30 by default
  --json FILE     write the result as JSON
  --kind KIND     kind of work of the flood: least (default) or most urgent
  --instances N   balancers of control and changes, at most 64; 8 by default
  --help          print this text
  --version       print the version

The program tanager-balancer is taken from the directory of this program.
Exit codes: 0 every guarantee held, 1 a guarantee was violated or the run failed, 2 wrong arguments.
";

/// The experiment to run and its options.
pub struct ExperimentConfig {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// File to which the result is written as JSON.
    pub json: Option<String>,
    /// Whether the flood is of the most urgent work.
    pub most_urgent: bool,
    /// Number of balancers in the control and changes experiments.
    pub instances: usize,
}

fn main() -> ExitCode {
    program::run("tanager-bench", HELP, bench)
}

async fn bench(mut args: Arguments) -> ProgramResult {
    let experiment: String = args
        .free_from_str()
        .map_err(|e| Failure::Usage(e.to_string()))?;
    if experiment == "relay" {
        return forwarding::relay(args).await;
    }
    let kind: String = program::optional(&mut args, "--kind", "least".to_owned())?;
    let config = ExperimentConfig {
        experiment,
        seed: program::optional(&mut args, "--seed", 1)?,
        seconds: program::optional(&mut args, "--seconds", 30)?,
        json: args
            .opt_value_from_str("--json")
            .map_err(|e| Failure::Usage(e.to_string()))?,
        most_urgent: kind == "most",
        instances: program::optional(&mut args, "--instances", 8)?,
    };
    program::reject_remaining(args)?;
    if !(5..=3_600).contains(&config.seconds)
        || !(1..=64).contains(&config.instances)
        || !["least", "most"].contains(&kind.as_str())
    {
        return Err(Failure::Usage(
            "expected --seconds 5 to 3600, --instances 1 to 64, --kind least or most".to_owned(),
        ));
    }
    // On a signal the fleet is dropped, which kills the processes that it started.
    let report = tokio::select! {
        report = run(&config) => report?,
        signal_result = program::wait_for_stop_signal() => {
            signal_result?;
            return Err(Failure::Failed("stopped by a signal".to_owned()));
        }
    };
    report.publish(&config)
}

async fn run(config: &ExperimentConfig) -> Result<Report, Failure> {
    let report = match config.experiment.as_str() {
        "planned-changes" => faults::planned_changes(config).await,
        "balancer-kill" => faults::balancer_kill(config).await,
        "execution" => faults::execution(config).await,
        "chaos" => chaos::chaos(config).await,
        "flood" => performance::flood(config).await,
        "imbalance" => performance::imbalance(config).await,
        "control" => performance::control(config).await,
        "changes" => changes::changes(config).await,
        "forwarding" => forwarding::forwarding(config).await,
        other => return Err(Failure::Usage(format!("unknown experiment {other}"))),
    };
    report.map_err(Failure::failed)
}
