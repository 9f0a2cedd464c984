//! Runs callers of one service, and checks the reports of a run of several processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use serde_json::{Value, json};
use tanager_standins::load::{Tally, Workload, generate_load};
use tanager_standins::program::{self, Failure, ProgramResult};
use tanager_standins::verdict::RunObservations;

const HELP: &str = "\
standin-caller: callers of one service, or the verdict on a run

Usage: standin-caller --fabric ADDRESS --service NUMBER --report FILE [options]
       standin-caller --verdict FILE...

Options:
  --fabric ADDRESS      where to send datagrams
  --service NUMBER      the service to call
  --report FILE         write how everything ended, as JSON
  --name NAME           name of the service in the verdict
  --seconds N           time during which load is sent; 30 by default
  --feeds N             feeds to hold; 0 by default
  --once RATE           non-repeatable requests a second; 0 by default
  --repeatable RATE     repeatable requests a second; 0 by default
  --answer-size BYTES   size of the targets' answers; 64 by default
  --verdict             read reports of callers and targets and print one line of JSON
  --help                print this text
  --version             print the version

Exit codes: 0 done, 1 failed or a guarantee was violated, 2 wrong arguments.
";

/// Time allowed after the load for outstanding requests and feeds to end.
const COMPLETION_MARGIN: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    program::run("standin-caller", HELP, call)
}

async fn call(mut args: Arguments) -> ProgramResult {
    if args.contains("--verdict") {
        return print_verdict(args);
    }
    let fabric: SocketAddr = program::required(&mut args, "--fabric")?;
    let report: String = program::required(&mut args, "--report")?;
    let workload = Workload {
        name: program::optional(&mut args, "--name", String::new())?,
        service: program::required(&mut args, "--service")?,
        feeds: program::optional(&mut args, "--feeds", 0)?,
        once: program::optional(&mut args, "--once", 0.0)?,
        repeatable: program::optional(&mut args, "--repeatable", 0.0)?,
        answer_size: program::optional(&mut args, "--answer-size", 64)?,
    };
    let seconds = program::optional(&mut args, "--seconds", 30)?;
    program::reject_remaining(args)?;
    let time = Duration::from_secs(seconds);
    let tallies = tokio::time::timeout(
        time + COMPLETION_MARGIN,
        generate_load(fabric, &[workload], time),
    )
    .await
    .map_err(Failure::failed)?
    .map_err(Failure::failed)?;
    let text = serde_json::to_string(&tallies).map_err(Failure::failed)?;
    std::fs::write(report, text).map_err(Failure::failed)
}

/// Checks the reports and prints the verdict. No feed may break: only balancers are stopped in
/// such a run, and feeds must survive that.
fn print_verdict(args: Arguments) -> ProgramResult {
    let mut observations = RunObservations::default();
    for path in args.finish() {
        let text = program::read_file(&path.to_string_lossy())?;
        match serde_json::from_str::<Vec<Tally>>(&text) {
            Ok(tallies) => observations.tallies.extend(tallies),
            Err(_) => observations
                .records
                .extend(serde_json::from_str::<Vec<_>>(&text).map_err(Failure::failed)?),
        }
    }
    let mut breaches = observations.breaches();
    let mut services = Vec::new();
    for tally in &observations.tallies {
        let served = tally.answered();
        if tally.feeds_broken > 0 {
            let (number, service) = (tally.feeds_broken, &tally.name);
            breaches.push(format!("{number} feeds of service {service} broke"));
        }
        if served == 0 {
            breaches.push(format!("service {} answered no request", tally.name));
        }
        services.push(service_row(tally, served));
    }
    if observations.tallies.is_empty() || observations.records.is_empty() {
        breaches.push("reports are missing".to_owned());
    }
    println!(
        "{}",
        json!({ "services": services,
        "feeds_held": observations.sum_tallies(|t| t.feeds_opened),
        "feeds_broken": observations.sum_tallies(|t| t.feeds_broken),
        "breaches": breaches })
    );
    if breaches.is_empty() {
        Ok(())
    } else {
        Err(Failure::Breached)
    }
}

fn service_row(tally: &Tally, served: u64) -> Value {
    json!({ "service": tally.name, "requests_served": served,
        "not_run": tally.once.not_run + tally.repeatable.not_run,
        "unknown": tally.once.unknown + tally.repeatable.unknown,
        "feeds_held": tally.feeds_opened, "feeds_broken": tally.feeds_broken })
}
