//! The operator tool: prints the status pages of instances and checks documents before they are
//! published.

mod check;
mod dashboard;
mod error;
mod explain;
mod pages;
mod usage;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::error::Result;
use crate::explain::Selector;

const HELP: &str = "\
tanagerctl: operator tool of tanagerproxy

Usage: tanagerctl status [--json] ADDRESS...
       tanagerctl usage [--json] ADDRESS...
       tanagerctl explain (--flow ID | --request ID | --last) [--json] ADDRESS...
       tanagerctl forwarder explain ADDRESS FLOW
       tanagerctl check (--settings FILE | --catalogue FILE)

ADDRESS is the status address of an instance; give all of them to see the whole fleet.

Commands:
  status    revision in force, owners' use, limits, sheds and feeds of each instance
  usage     usage by owner as the instances know it, and by service summed over the instances
  explain   routing and placement decisions, newest first
  forwarder explain
            where an instance of tanager-forwarder would send a new request of FLOW now, and why;
            ADDRESS is its metrics address, FLOW is CLIENT:PORT>SERVICE:PORT
  check     report every problem of a document without publishing it

Options:
  --json       print JSON
  --help       print this text
  --version    print the version

Exit codes: 0 done, 1 an instance could not be read or a document has problems,
2 wrong arguments.
";

/// The parsed command line.
#[derive(Debug, PartialEq, Eq)]
enum Command {
    Help,
    Version,
    Status(Query),
    Usage(Query),
    Explain(Selector, Query),
    ExplainForwarder(SocketAddr, String),
    Check(check::Kind, String),
}

/// The instances to query and the output format.
#[derive(Debug, PartialEq, Eq)]
struct Query {
    addresses: Vec<SocketAddr>,
    json: bool,
}

fn main() -> ExitCode {
    let command = match parse_command(Arguments::from_env()) {
        Ok(command) => command,
        Err(message) => {
            eprintln!("{message}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn parse_command(mut args: Arguments) -> std::result::Result<Command, String> {
    if args.contains("--help") {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let name = args.subcommand().map_err(|e| e.to_string())?;
    match name.as_deref() {
        Some("status") => Ok(Command::Status(parse_query(args)?)),
        Some("usage") => Ok(Command::Usage(parse_query(args)?)),
        Some("explain") => {
            let selector = parse_selector(&mut args)?;
            Ok(Command::Explain(selector, parse_query(args)?))
        }
        Some("forwarder") => parse_forwarder(args),
        Some("check") => parse_check(args),
        Some(other) => Err(format!("unknown command {other}")),
        None => Err("a command is missing".to_owned()),
    }
}

fn parse_query(mut args: Arguments) -> std::result::Result<Query, String> {
    let json = args.contains("--json");
    let mut addresses = Vec::new();
    for text in args.finish() {
        let text = text.to_string_lossy();
        let address = text.parse();
        addresses.push(address.map_err(|_| format!("{text} is not an address and port"))?);
    }
    if addresses.is_empty() {
        return Err("an address is missing".to_owned());
    }
    Ok(Query { addresses, json })
}

fn parse_selector(args: &mut Arguments) -> std::result::Result<Selector, String> {
    let flow = args.opt_value_from_str("--flow");
    let flow = flow.map_err(|e| e.to_string())?.map(Selector::Flow);
    let request = args.opt_value_from_str("--request");
    let request = request.map_err(|e| e.to_string())?.map(Selector::Request);
    let last = args.contains("--last").then_some(Selector::Last);
    match [flow, request, last]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()[..]
    {
        [selector] => Ok(selector),
        _ => Err("expected one of --flow, --request and --last".to_owned()),
    }
}

fn parse_forwarder(mut args: Arguments) -> std::result::Result<Command, String> {
    let name = args.subcommand().map_err(|e| e.to_string())?;
    if name.as_deref() != Some("explain") {
        return Err("expected forwarder explain".to_owned());
    }
    let (Ok(address), Ok(flow)) = (args.free_from_str(), args.free_from_str()) else {
        return Err("expected an address and port, and a flow".to_owned());
    };
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments: {rest:?}"));
    }
    Ok(Command::ExplainForwarder(address, flow))
}

fn parse_check(mut args: Arguments) -> std::result::Result<Command, String> {
    let settings: Option<String> = args
        .opt_value_from_str("--settings")
        .map_err(|e| e.to_string())?;
    let catalogue = args
        .opt_value_from_str("--catalogue")
        .map_err(|e| e.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments: {rest:?}"));
    }
    match (settings, catalogue) {
        (Some(path), None) => Ok(Command::Check(check::Kind::Settings, path)),
        (None, Some(path)) => Ok(Command::Check(check::Kind::Catalogue, path)),
        _ => Err("expected one of --settings and --catalogue".to_owned()),
    }
}

/// Runs a command. Returns false if some instances could not be read; their addresses have already
/// been written to standard error.
#[tokio::main(flavor = "current_thread")]
async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("tanagerctl {}", env!("CARGO_PKG_VERSION")),
        Command::Status(query) => {
            let fetched = pages::fetch_all(&query.addresses, "/status").await?;
            print!(
                "{}",
                format_pages(&fetched.pages, query.json, dashboard::render)
            );
            return Ok(fetched.complete);
        }
        Command::Usage(query) => {
            let fetched = pages::fetch_all(&query.addresses, "/usage").await?;
            print!(
                "{}",
                format_pages(&fetched.pages, query.json, usage::render)
            );
            return Ok(fetched.complete);
        }
        Command::Explain(selector, query) => {
            return explain::run(selector, &query).await;
        }
        Command::ExplainForwarder(address, flow) => {
            let path = format!("/explain?flow={flow}");
            let fetched = pages::fetch_all(&[address], &path).await?;
            for page in &fetched.pages {
                println!("{:#}", page.body);
            }
        }
        Command::Check(kind, path) => println!("{}", check::run(kind, &path)?),
    }
    Ok(true)
}

fn format_pages(pages: &[pages::Page], json: bool, render: fn(&[pages::Page]) -> String) -> String {
    if json {
        pages::to_json(pages)
    } else {
        render(pages)
    }
}
