//! Runs all targets of one service in one process.

use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use tanager_standins::program::{self, Failure, ProgramResult};
use tanager_standins::target::{Options, Record, Target};
use tanagerproxy::catalogue::Catalogue;

const HELP: &str = "\
standin-target: the targets of one service

Usage: standin-target --catalogue FILE --service NAME [options]

Options:
  --catalogue FILE      lists the targets and their addresses
  --service NAME        the service whose targets to start
  --service-ms N        time that a request occupies a slot, in milliseconds; 10 by default
  --answer-size BYTES   size of an answer; 64 by default
  --report FILE         write what happened, as JSON, when stopped
  --help                print this text
  --version             print the version

Exit codes: 0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong arguments.
";

fn main() -> ExitCode {
    program::run("standin-target", HELP, serve)
}

async fn serve(mut args: Arguments) -> ProgramResult {
    let path: String = program::required(&mut args, "--catalogue")?;
    let service: String = program::required(&mut args, "--service")?;
    let time: u64 = program::optional(&mut args, "--service-ms", 10)?;
    let answer_size: usize = program::optional(&mut args, "--answer-size", 64)?;
    let report: String = program::optional(&mut args, "--report", String::new())?;
    program::reject_remaining(args)?;
    let catalogue = Catalogue::read(&program::read_file(&path)?).map_err(Failure::failed)?;
    let entry = catalogue
        .entries
        .values()
        .find(|e| e.name.as_str() == service)
        .ok_or_else(|| Failure::Failed(format!("{service} is not in the catalogue")))?;
    let number = entry.service.get();
    let mut targets = Vec::new();
    for target in &entry.targets {
        let options = Options {
            incarnation: target.incarnation.get(),
            slots: target.slots,
            flows: target.flows,
            service_time: Duration::from_millis(time),
            answer_size,
            ..Options::new(target.address, number, target.id.get())
        };
        targets.push(Target::start(options).await.map_err(Failure::failed)?);
    }
    program::wait_for_stop_signal().await?;
    if report.is_empty() {
        return Ok(());
    }
    let records: Vec<(u32, Record)> = targets.iter().map(|t| (number, t.record())).collect();
    let text = serde_json::to_string(&records).map_err(Failure::failed)?;
    std::fs::write(report, text).map_err(Failure::failed)
}
