//! The table and the JSON document of a run.

use serde_json::{Map, Value, json};
use tanager_standins::program::{Failure, ProgramResult};

use crate::ExperimentConfig;

/// Result of an experiment.
#[derive(Default)]
pub struct Report {
    pub figures: Vec<(&'static str, f64)>,
    pub baselines: Vec<(&'static str, f64)>,
    /// How often each fault was injected, if faults were random.
    pub faults: Vec<(&'static str, f64)>,
    pub breaches: Vec<String>,
}

/// Goal of section 1.4 of the design: the bound that a figure may not exceed, or must reach.
enum Goal {
    AtMost(f64),
    AtLeast(f64),
}

fn goal(experiment: &str, figure: &str) -> Option<Goal> {
    Some(match (experiment, figure) {
        (_, "feeds_broken" | "ran_twice" | "ran_after_not_run" | "wrong_service") => {
            Goal::AtMost(0.0)
        }
        (_, "requests_lost" | "new_work_after_leave") => Goal::AtMost(0.0),
        (_, "longest_gap_ms") => Goal::AtMost(2_000.0),
        (_, "flow_max_over_mean" | "slot_max_over_mean") => Goal::AtMost(1.1),
        (_, "kept_goodput_ratio_min") => Goal::AtLeast(0.95),
        (_, "kept_p99_ratio_max") => Goal::AtMost(2.0),
        (_, "control_bytes_per_s") => Goal::AtMost(8_192.0),
        (_, "control_core_percent") => Goal::AtMost(4.2),
        (_, "memory_mb") => Goal::AtMost(128.0),
        (_, "platform_calls_per_s") => Goal::AtMost(100.0 / 670.0),
        (_, "fleet_calls_per_s") => Goal::AtMost(100.0),
        (_, "catalogue_in_force_ms_max" | "list_known_ms_max") => Goal::AtMost(6_000.0),
        (_, "forward_ratio") => Goal::AtLeast(0.7),
        (_, "bytes_per_held_flow") => Goal::AtMost(200.0),
        _ => return None,
    })
}

impl Report {
    /// Prints the table, writes the JSON document and fails if a guarantee was violated.
    pub fn publish(&self, config: &ExperimentConfig) -> ProgramResult {
        println!(
            "experiment {}, seed {}, {} s",
            config.experiment, config.seed, config.seconds
        );
        for (name, value) in &self.figures {
            let verdict = match goal(&config.experiment, name) {
                _ if value.is_nan() => "not measured".to_owned(),
                Some(Goal::AtMost(bound)) => verdict(*value <= bound, "at most", bound),
                Some(Goal::AtLeast(bound)) => verdict(*value >= bound, "at least", bound),
                None => String::new(),
            };
            println!("  {name:<28} {value:>14.3}  {verdict}");
        }
        for (name, value) in &self.baselines {
            println!("  baseline {name:<19} {value:>14.3}");
        }
        for (name, value) in &self.faults {
            println!("  fault {name:<22} {value:>14.0}");
        }
        for breach in &self.breaches {
            println!("  BREACH: {breach}");
        }
        let document = json!({ "experiment": config.experiment, "seed": config.seed,
            "seconds": config.seconds, "figures": object(&self.figures),
            "breaches": self.breaches, "baselines": object(&self.baselines),
            "faults": object(&self.faults) });
        if let Some(path) = &config.json {
            std::fs::write(path, format!("{document:#}\n")).map_err(Failure::failed)?;
        }
        if self.breaches.is_empty() {
            Ok(())
        } else {
            Err(Failure::Breached)
        }
    }
}

fn verdict(met: bool, relation: &str, bound: f64) -> String {
    let word = if met { "met" } else { "MISSED" };
    format!("{word} (goal: {relation} {bound:.3})")
}

fn object(figures: &[(&str, f64)]) -> Value {
    let pairs = figures
        .iter()
        .map(|(name, value)| ((*name).to_owned(), json!(value)));
    Value::Object(pairs.collect::<Map<_, _>>())
}
