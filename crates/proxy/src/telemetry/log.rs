//! Writes log lines with a prefix for each part of the program.

use std::fmt;
use std::io::Write;
use std::sync::Arc;

use serde::Serialize;
use slog::{Drain as _, Logger, o};
use tanager_core::Clock;

use crate::settings::{LogFormat, LogOutput, LogSettings};
use crate::telemetry::{Decision, DecisionRing};

/// The parts of the program, each with a fixed prefix in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// Start and stop.
    Node,
    /// Catalogue and platform.
    Catalogue,
    /// Instances and heartbeats.
    Membership,
    /// Connections to other instances.
    Peer,
    /// Connections to targets.
    Target,
    /// Flows.
    Flow,
    /// Choice of targets.
    Routing,
    /// Limits and queues.
    Admission,
    /// Requests.
    Execution,
    /// Usage counters.
    Usage,
    /// Status pages.
    Status,
    /// Packets of clients.
    Forward,
    /// The store of the platform.
    Store,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Node => "[node]",
            Self::Catalogue => "[catalogue]",
            Self::Membership => "[membership]",
            Self::Peer => "[peer]",
            Self::Target => "[target]",
            Self::Flow => "[flow]",
            Self::Routing => "[routing]",
            Self::Admission => "[admission]",
            Self::Execution => "[execution]",
            Self::Usage => "[usage]",
            Self::Status => "[status]",
            Self::Forward => "[forward]",
            Self::Store => "[store]",
        })
    }
}

/// Writes log lines and records decisions.
#[derive(Clone)]
pub struct Log {
    root: Logger,
    clock: Clock,
    decisions: Arc<DecisionRing>,
}

impl Log {
    /// Creates a log that writes from a thread of its own. When more than `queue` lines wait,
    /// further ones are dropped and their number is logged.
    #[must_use]
    pub fn new(settings: &LogSettings, clock: Clock) -> Self {
        let queue = settings.queue;
        let output: Box<dyn Write + Send> = match settings.output {
            LogOutput::Stderr => Box::new(std::io::stderr()),
            LogOutput::Stdout => Box::new(std::io::stdout()),
        };
        // A closed output must not end the program, and there is nowhere else to say so.
        let root = match settings.format {
            LogFormat::Text => {
                let decorator = slog_term::PlainDecorator::new(output);
                let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
                root_logger(drain, queue, settings.level)
            }
            LogFormat::Json => {
                let drain = slog_json::Json::default(output).ignore_res();
                root_logger(drain, queue, settings.level)
            }
        };
        Self {
            root,
            clock,
            decisions: Arc::default(),
        }
    }

    /// Creates a log that writes nothing and still records decisions.
    #[must_use]
    pub fn discard(clock: Clock) -> Self {
        let root = Logger::root(slog::Discard, o!());
        Self {
            root,
            clock,
            decisions: Arc::default(),
        }
    }

    /// Returns the underlying logger. Messages begin with the [`Part`] prefix.
    pub const fn logger(&self) -> &Logger {
        &self.root
    }

    /// Writes an informational line.
    pub fn info(&self, part: Part, message: impl fmt::Display) {
        slog::info!(self.root, "{part} {message}");
    }

    /// Writes a warning line.
    pub fn warn(&self, part: Part, message: impl fmt::Display) {
        slog::warn!(self.root, "{part} {message}");
    }

    /// Writes and records a decision.
    pub fn record_decision(&self, mut decision: Decision) {
        decision.at = self.clock.now();
        slog::info!(self.root, "{} {} {}", decision.part, decision.kind, decision.choice;
            "service" => decision.service.get(),
            "flow" => &decision.flow,
            "request" => &decision.request,
            "inputs" => &decision.inputs,
            "reason" => &decision.reason);
        self.decisions.push(decision);
    }

    /// Returns the recent decisions.
    #[must_use]
    pub fn decisions(&self) -> &DecisionRing {
        &self.decisions
    }
}

fn root_logger<D>(drain: D, queue: usize, level: slog::Level) -> Logger
where
    D: slog::Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    // Dropped lines are reported by slog-async itself, as a line with their number.
    let drain = slog_async::Async::new(drain)
        .chan_size(queue)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.filter_level(level).fuse(), o!())
}
