//! The entry instance daemon: reads the settings, runs a node and stops it gracefully on SIGTERM or
//! SIGINT.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use miette::{IntoDiagnostic as _, Result, WrapErr as _};
use tanager_core::Clock;
use tanagerproxy::Node;
use tanagerproxy::peer::TcpNetwork;
use tanagerproxy::settings::Settings;
use tanagerproxy::telemetry::Log;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
tanager-balancer: an entry instance of tanagerproxy

Usage: tanager-balancer --settings FILE

Options:
  --settings FILE   YAML settings of the instance
  --help            print this text
  --version         print the version

Exit codes: 0 stopped gracefully, 1 failed to start, 2 wrong arguments.
SIGTERM and SIGINT stop the instance gracefully.
";

/// The parsed command line.
enum Command {
    Help,
    Version,
    Serve { settings: PathBuf },
}

fn main() -> ExitCode {
    let command = match parse_command(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("tanager-balancer {}", env!("CARGO_PKG_VERSION")),
        Command::Serve { settings } => {
            if let Err(error) = serve(&settings) {
                eprintln!("{error:?}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn parse_command(mut args: pico_args::Arguments) -> Result<Command, String> {
    if args.contains("--help") {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let settings = args
        .value_from_str("--settings")
        .map_err(|e| e.to_string())?;
    let rest = args.finish();
    if rest.is_empty() {
        Ok(Command::Serve { settings })
    } else {
        Err(format!("unexpected arguments: {rest:?}"))
    }
}

#[tokio::main]
async fn serve(path: &PathBuf) -> Result<()> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read settings {}", path.display()))?;
    let settings = Settings::read(&text)?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let clock = Clock::start();
    let log = Log::new(&settings.log, clock);
    let node = Node::start(settings, log, clock, Arc::new(TcpNetwork))
        .await
        .into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.leave().await;
    Ok(())
}
