//! Runs the fabric stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;
use tanager_standins::fabric::Fabric;
use tanager_standins::program::{self, Failure, ProgramResult};

const HELP: &str = "\
standin-fabric: delivers each datagram of a caller to a random balancer

Usage: standin-fabric --listen ADDRESS --balancer ADDRESS...

Options:
  --listen ADDRESS     where callers send to
  --balancer ADDRESS   a balancer's address for callers; may be repeated
  --help               print this text
  --version            print the version

Exit codes: 0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong arguments.
";

fn main() -> ExitCode {
    program::run("standin-fabric", HELP, serve)
}

async fn serve(mut args: Arguments) -> ProgramResult {
    let address: SocketAddr = program::required(&mut args, "--listen")?;
    let balancers: Vec<SocketAddr> = args
        .values_from_str("--balancer")
        .map_err(|e| Failure::Usage(e.to_string()))?;
    program::reject_remaining(args)?;
    Fabric::start(address, balancers, rand::random())
        .await
        .map_err(Failure::failed)?;
    program::wait_for_stop_signal().await
}
