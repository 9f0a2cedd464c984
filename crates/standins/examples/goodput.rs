//! Simulates fleets under loads of 1 to 8 times their capacity with the forwarder and with simpler
//! policies, prints the goodput relative to the capacity, and draws it as SVG:
//!
//! ```text
//! cargo run --release -p tanager-standins --example goodput -- [--seed 1] [--seconds 2]
//!     [--svg target/goodput.svg]
//! ```

use std::path::{Path, PathBuf};

use miette::{IntoDiagnostic as _, Result, miette};
use pico_args::Arguments;
use plotters::prelude::*;
use tanager_standins::model::{Policy, Settings, goodput_by_step, long_flows, short_flows};

/// Loads relative to the capacity.
const LOADS: [f64; 8] = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0];
/// The policies with their names and colours.
const POLICIES: [(Policy, &str, RGBColor); 3] = [
    (Policy::Forwarder, "forwarder", BLUE),
    (Policy::Random, "random", RED),
    (Policy::LeastLoaded, "least loaded", BLACK),
];
/// Size of the drawing in pixels.
const SIZE: (u32, u32) = (1_200, 400);
/// Highest goodput in the drawing. Answers that were due before a step may arrive during it.
const MAX_GOODPUT: f64 = 1.1;

/// The goodput of a fleet under each load, by policy.
struct Curves {
    fleet: String,
    goodputs: Vec<Vec<f64>>,
}

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").into_diagnostic()?;
    let seconds = arguments.opt_value_from_str("--seconds");
    let seconds = seconds.into_diagnostic()?.unwrap_or(2).max(1);
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg").into_diagnostic()?;
    let svg = svg.unwrap_or_else(|| PathBuf::from("target/goodput.svg"));
    println!("{:<42}{:<14}{}", "fleet", "policy", row(&LOADS));
    let fleets = [
        ("8 instances, short flows", short_flows(8, 24)),
        ("63 instances, short flows", short_flows(63, 120)),
        ("90 instances, long flows", long_flows(90, 120)),
    ];
    let curves = fleets.map(|(name, fleet)| simulate_fleet(name, &fleet, seconds, seed));
    draw(&curves, &svg)?;
    println!("drawn to {}", svg.display());
    Ok(())
}

fn simulate_fleet(name: &str, fleet: &Settings, seconds: u64, seed: Option<u64>) -> Curves {
    let name = format!("{name}, {} targets", fleet.targets);
    let simulate_policy = |(policy, policy_name, _): (Policy, &str, RGBColor)| {
        let settings = Settings {
            policy,
            ..fleet.clone()
        };
        let goodputs = goodput_by_step(&settings, &LOADS, seconds, seed.unwrap_or(1));
        println!("{name:<42}{policy_name:<14}{}", row(&goodputs));
        goodputs
    };
    let goodputs = POLICIES.into_iter().map(simulate_policy).collect();
    Curves {
        fleet: name,
        goodputs,
    }
}

fn row(values: &[f64]) -> String {
    let values: Vec<_> = values.iter().map(|v| format!("{v:>7.2}")).collect();
    values.concat()
}

/// Draws one chart for each fleet.
fn draw(curves: &[Curves], path: &Path) -> Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).into_diagnostic()?;
    for (panel, curves) in area.split_evenly((1, curves.len())).iter().zip(curves) {
        let drawn = draw_fleet(curves, panel);
        drawn.map_err(|error| miette!("cannot draw {}: {error}", curves.fleet))?;
    }
    area.present().into_diagnostic()
}

fn draw_fleet(
    curves: &Curves,
    panel: &DrawingArea<SVGBackend, plotters::coord::Shift>,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let loads = LOADS[0]..LOADS[LOADS.len() - 1];
    let mut chart = ChartBuilder::on(panel)
        .caption(&curves.fleet, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(40)
        .build_cartesian_2d(loads, 0.0..MAX_GOODPUT)?;
    chart
        .configure_mesh()
        .x_desc("offered load / capacity")
        .y_desc("goodput / capacity")
        .draw()?;
    for ((_, name, color), goodputs) in POLICIES.iter().zip(&curves.goodputs) {
        let points = LOADS.into_iter().zip(goodputs.iter().copied());
        let line = LineSeries::new(points, color.stroke_width(2));
        let legend = |(x, y)| PathElement::new([(x, y), (x + 16, y)], *color);
        chart.draw_series(line)?.label(*name).legend(legend);
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
