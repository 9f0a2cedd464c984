//! The frame of every program of this crate: arguments, help, version and exit codes.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

use pico_args::Arguments;

/// Why a program ends without success.
#[derive(Debug)]
pub enum Failure {
    /// The arguments are wrong; exit code 2.
    Usage(String),
    /// It could not do its work; exit code 1.
    Failed(String),
    /// A promise was broken; exit code 1. The output names it already.
    Breached,
}

impl Failure {
    /// Returns a failure to do the work, with its cause.
    pub fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }
}

/// How a program ends.
pub type Ending = Result<(), Failure>;

/// Runs a program on a multi-threaded runtime and returns its exit code.
pub fn run<F: Future<Output = Ending>>(
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
    let ending = tokio::runtime::Runtime::new()
        .map_err(Failure::failed)
        .and_then(|runtime| runtime.block_on(program(args)));
    match ending {
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

/// Reads an option that must be present.
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

/// Reads an option with a default.
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

/// Refuses arguments that no option took.
///
/// # Errors
///
/// Returns [`Failure::Usage`] if there are any.
pub fn finish(args: Arguments) -> Ending {
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
/// Returns [`Failure::Failed`] with the file's name.
pub fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::Failed(format!("{path}: {e}")))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`Failure::Failed`] if signals cannot be received.
pub async fn stopped() -> Ending {
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
