//! Shared entry point of this crate's programs: arguments, help, version and exit codes.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

use pico_args::Arguments;

/// Why a program failed.
#[derive(Debug)]
pub enum Failure {
    /// The arguments are invalid; exit code 2.
    Usage(String),
    /// An operation failed; exit code 1.
    Failed(String),
    /// A guarantee of the balancer was violated; exit code 1. The program has already printed which.
    Breached,
}

impl Failure {
    /// Returns [`Failure::Failed`] with the error's text.
    pub fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }
}

/// The result of a program.
pub type ProgramResult = Result<(), Failure>;

/// Runs a program on a multi-threaded runtime and returns its exit code.
pub fn run<F: Future<Output = ProgramResult>>(
    name: &str,
    help: &str,
    program: impl FnOnce(Arguments) -> F,
) -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = tokio::runtime::Runtime::new()
        .map_err(Failure::failed)
        .and_then(|runtime| runtime.block_on(program(args)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(message)) => {
            eprintln!("{message}\n\n{help}");
            ExitCode::from(2)
        }
        Err(Failure::Failed(message)) => {
            eprintln!("{name}: {message}");
            ExitCode::FAILURE
        }
        Err(Failure::Breached) => ExitCode::FAILURE,
    }
}

/// Parses a required option.
///
/// # Errors
///
/// Returns [`Failure::Usage`] if it is missing or malformed.
pub fn required<T: FromStr<Err: Display>>(
    args: &mut Arguments,
    key: &'static str,
) -> Result<T, Failure> {
    args.value_from_str(key).map_err(usage)
}

/// Parses an option that has a default value.
///
/// # Errors
///
/// Returns [`Failure::Usage`] if it is malformed.
pub fn optional<T: FromStr<Err: Display>>(
    args: &mut Arguments,
    key: &'static str,
    default: T,
) -> Result<T, Failure> {
    let value = args.opt_value_from_str(key).map_err(usage)?;
    Ok(value.unwrap_or(default))
}

/// Rejects arguments that no option has consumed.
///
/// # Errors
///
/// Returns [`Failure::Usage`] if there are any.
pub fn reject_remaining(args: Arguments) -> ProgramResult {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(Failure::Usage(format!("unexpected arguments: {rest:?}")))
}

/// Reads a text file.
///
/// # Errors
///
/// Returns [`Failure::Failed`] with the path if the file cannot be read.
pub fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::Failed(format!("{path}: {e}")))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`Failure::Failed`] if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> ProgramResult {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(Failure::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn usage(error: impl Display) -> Failure {
    Failure::Usage(error.to_string())
}
