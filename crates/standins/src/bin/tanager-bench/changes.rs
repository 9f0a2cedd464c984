//! Measures what changes of the catalogue and the instance list cost, and how long they take to
//! be in force, in a fleet without traffic.

use std::io;
use std::time::Duration;

use tanager_core::FastMap;
use tanager_standins::settings::catalogue;
use tokio::time::{Instant, sleep};

use crate::ExperimentConfig;
use crate::faults::{figure, services, with_slow_requests};
use crate::fleet::Fleet;
use crate::performance::{SETTLE_TIME, sample};
use crate::report::Report;

/// Size in bytes of a catalogue of the design size: 620 services with 3,400 targets.
const CATALOGUE_SIZE: usize = 581_273;
/// Size in bytes of an instance list of the design size: 670 instances.
const LIST_SIZE: usize = 62_700;
/// Time within which a change must be in force in every instance.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
/// Time between two reads of an instance's status page.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between a change and the next one, in which slower watchers receive it as well.
const CHANGE_PAUSE: Duration = Duration::from_secs(4);

/// The document that is changed.
#[derive(Clone, Copy)]
enum Document {
    Catalogue,
    List,
}

/// Publishes changes of both documents at their design size.
pub async fn changes(config: &ExperimentConfig) -> io::Result<Report> {
    let mut fleet = Fleet::start(
        config.instances,
        services(),
        with_slow_requests,
        config.seed,
    )
    .await?;
    publish(&mut fleet, Document::Catalogue);
    publish(&mut fleet, Document::List);
    sleep(SETTLE_TIME * 2).await;
    let time = Duration::from_secs(config.seconds);
    let start = sample(&fleet).await?;
    sleep(time).await;
    let end = sample(&fleet).await?;
    let idle = bytes_per_second(&start, &end, time);
    let calls = (end["calls"] - start["calls"]) / time.as_secs_f64();
    let mut report = Report::default();
    report.figures.push(("fleet_calls_per_s", calls));
    for document in [Document::Catalogue, Document::List] {
        let [bytes, in_force, late] = measure_changes(&mut fleet, document, time, idle).await?;
        let names = match document {
            Document::Catalogue => ["catalogue_change_bytes", "catalogue_in_force_ms_max"],
            Document::List => ["list_change_bytes", "list_known_ms_max"],
        };
        report.figures.push((names[0], bytes));
        report.figures.push((names[1], in_force));
        if late > 0.0 {
            let name = names[1];
            report
                .breaches
                .push(format!("{name}: {late} changes were not in force in time"));
        }
    }
    report
        .breaches
        .extend(fleet.observations(Vec::new()).await.breaches());
    Ok(report)
}

/// Publishes changes for a time. Returns the bytes for each change and instance, the longest time
/// until a change was in force in milliseconds, and the number of changes that were late.
async fn measure_changes(
    fleet: &mut Fleet,
    document: Document,
    time: Duration,
    idle: f64,
) -> io::Result<[f64; 3]> {
    let (mut longest, mut changes, mut late) = (0.0_f64, 0.0, 0.0);
    let before = sample(fleet).await?;
    let start = Instant::now();
    while start.elapsed() < time {
        publish(fleet, document);
        changes += 1.0;
        match propagation_time(fleet, document).await {
            Some(elapsed) => longest = longest.max(elapsed.as_secs_f64() * 1e3),
            None => late += 1.0,
        }
        sleep(CHANGE_PAUSE).await;
    }
    let all = bytes_per_second(&before, &sample(fleet).await?, start.elapsed());
    let instances = figure(fleet.balancers.len() as u64);
    let bytes = (all - idle) * start.elapsed().as_secs_f64() / changes / instances;
    Ok([bytes, longest, late])
}

/// Publishes a document of the design size under the next revision.
fn publish(fleet: &mut Fleet, document: Document) {
    match document {
        Document::Catalogue => {
            fleet.revision += 1;
            let text = catalogue(fleet.revision, &fleet.services);
            fleet.platform.publish_catalogue(&pad(text, CATALOGUE_SIZE));
        }
        Document::List => {
            let text = fleet.next_instances();
            fleet.platform.publish_instances(&pad(text, LIST_SIZE));
        }
    }
}

/// Pads a document with numbered comment lines up to a size.
fn pad(mut text: String, size: usize) -> String {
    for number in 0.. {
        if text.len() >= size {
            break;
        }
        let line =
            format!("# line {number:06} in place of an entry of the design size, {number:07}\n");
        text.push_str(&line);
    }
    text
}

/// Returns the time until every instance has the published document, or `None` if that takes
/// longer than the goal.
async fn propagation_time(fleet: &Fleet, document: Document) -> Option<Duration> {
    let start = Instant::now();
    let (key, revision) = match document {
        Document::Catalogue => ("revision", fleet.revision),
        Document::List => ("list_revision", fleet.instances_revision),
    };
    for index in 0..fleet.balancers.len() {
        // Instances are polled one after the other, so the measured time includes the polling.
        while fleet
            .status(index)
            .await
            .is_none_or(|s| s[key].as_u64() < Some(revision))
        {
            if start.elapsed() > IN_FORCE_LIMIT {
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Some(start.elapsed())
}

fn bytes_per_second(
    start: &FastMap<&'static str, f64>,
    end: &FastMap<&'static str, f64>,
    time: Duration,
) -> f64 {
    (end["bytes"] - start["bytes"]) / time.as_secs_f64()
}
