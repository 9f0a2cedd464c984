//! Runs the platform stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;
use tanager_standins::platform::Platform;
use tanager_standins::ports::ReservedPort;
use tanager_standins::program::{self, Failure, ProgramResult};

const HELP: &str = "\
standin-platform: the configuration service that balancers read and watch

Usage: standin-platform --listen ADDRESS --catalogue FILE --instances FILE
       standin-platform --free-ports COUNT

Options:
  --listen ADDRESS     where to serve HTTP; PUT /v1/catalogue and /v1/instances replace a document
  --catalogue FILE     the catalogue to publish first
  --instances FILE     the instance list to publish first
  --free-ports COUNT   print port numbers of 127.0.0.1 that are free for TCP and UDP, and exit
  --help               print this text
  --version            print the version

Exit codes: 0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong arguments.
";

fn main() -> ExitCode {
    program::run("standin-platform", HELP, serve)
}

async fn serve(mut args: Arguments) -> ProgramResult {
    let ports: usize = program::optional(&mut args, "--free-ports", 0)?;
    if ports > 0 {
        program::reject_remaining(args)?;
        return print_ports(ports);
    }
    let address: SocketAddr = program::required(&mut args, "--listen")?;
    let catalogue: String = program::required(&mut args, "--catalogue")?;
    let instances: String = program::required(&mut args, "--instances")?;
    program::reject_remaining(args)?;
    let platform = Platform::start(address).await.map_err(Failure::failed)?;
    platform.publish_catalogue(&program::read_file(&catalogue)?);
    platform.publish_instances(&program::read_file(&instances)?);
    program::wait_for_stop_signal().await
}

/// Prints free ports. All of them are held until the last one is found, so that none is printed
/// twice.
fn print_ports(count: usize) -> ProgramResult {
    let mut held = Vec::new();
    for _ in 0..count {
        let port = ReservedPort::reserve().map_err(Failure::failed)?;
        println!("{}", port.address.port());
        held.push(port);
    }
    Ok(())
}
