//! The fabric stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use tanager_standins::fabric::{Fabric, Faults};
use tanager_standins::program::{self, Ending, Failure};

const HELP: &str = "\
standin-fabric: delivers each datagram of a caller to a random balancer

Usage: standin-fabric --listen ADDRESS --balancer ADDRESS... [options]

Options:
  --listen ADDRESS     where callers send to
  --balancer ADDRESS   a balancer's address for callers; may be repeated
  --loss SHARE         share of datagrams lost in each direction, 0 to 1; 0 by default
  --duplicates SHARE   share of datagrams delivered twice, 0 to 1; 0 by default
  --delayed SHARE      share of datagrams delayed, 0 to 1; 0 by default
  --delay-ms N         longest delay in milliseconds; 0 by default
  --seed N             seed of all choices; 1 by default
  --help               print this text
  --version            print the version

Exit codes: 0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong arguments.
";

fn main() -> ExitCode {
    program::run("standin-fabric", HELP, serve)
}

async fn serve(mut args: Arguments) -> Ending {
    let address: SocketAddr = program::required(&mut args, "--listen")?;
    let balancers: Vec<SocketAddr> = args
        .values_from_str("--balancer")
        .map_err(|e| Failure::Usage(e.to_string()))?;
    let faults = Faults {
        loss: share(&mut args, "--loss")?,
        duplicates: share(&mut args, "--duplicates")?,
        delayed: share(&mut args, "--delayed")?,
        delay: Duration::from_millis(program::optional(&mut args, "--delay-ms", 0)?),
    };
    let seed = program::optional(&mut args, "--seed", 1)?;
    program::finish(args)?;
    let fabric = Fabric::start(address, balancers, seed)
        .await
        .map_err(Failure::failed)?;
    fabric.set_faults(faults);
    program::stopped().await
}

fn share(args: &mut Arguments, key: &'static str) -> Result<f64, Failure> {
    let share = program::optional(args, key, 0.0)?;
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(Failure::Usage(format!("{key}: expected 0 to 1")))
}
