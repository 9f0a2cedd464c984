//! Measures the memory and the processor time that target links cost one balancer process
//! without traffic, for several numbers of targets.
//!
//! Usage: `cargo run --release -p tanager-standins --example links -- BALANCER [TARGETS...]`,
//! where BALANCER is the built `tanager-balancer` and TARGETS are numbers of targets.

use std::io;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tanager_standins::fleet::{any_port, service};
use tanager_standins::platform::Platform;
use tanager_standins::process::{cpu_seconds, resident_bytes};
use tanager_standins::settings::{Instance, TargetEntry, catalogue, instance_list};
use tanager_standins::target::{Options, Target};
use tokio::time::sleep;

/// Time for links to connect before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time over which processor time is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Number of targets of one service.
const PER_SERVICE: usize = 100;

/// A balancer process that is killed when it is dropped.
struct Balancer(Child);

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut args = std::env::args().skip(1);
    let usage = "usage: links BALANCER [TARGETS...]";
    let balancer = args.next().ok_or_else(|| io::Error::other(usage))?;
    let mut sizes: Vec<usize> = args.filter_map(|a| a.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![100, 1_000, 3_400];
    }
    println!("targets  memory_mb  core_percent  catalogue_bytes");
    for size in sizes {
        measure(&balancer, size).await?;
    }
    Ok(())
}

async fn measure(balancer: &str, size: usize) -> io::Result<()> {
    let platform = Platform::start(any_port()).await?;
    let (text, _targets) = publish(&platform, size).await?;
    let dir = std::env::temp_dir().join(format!("tanager-links-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let process = start(balancer, &platform, &dir)?;
    sleep(SETTLE_TIME).await;
    let before = read_processor_seconds(process.0.id())?;
    sleep(MEASURE_TIME).await;
    let after = read_processor_seconds(process.0.id())?;
    let core = (after - before) / MEASURE_TIME.as_secs_f64() * 100.0;
    let memory = resident_bytes(process.0.id()).ok_or_else(unreadable_statistics)? / 1e6;
    println!("{size:7}  {memory:9.1}  {core:12.2}  {:15}", text.len());
    std::fs::remove_dir_all(&dir)
}

async fn publish(platform: &Platform, size: usize) -> io::Result<(String, Vec<Target>)> {
    let mut services = Vec::new();
    let mut targets = Vec::new();
    for first in (0..size).step_by(PER_SERVICE) {
        let number = u32::try_from(services.len() + 1).map_err(io::Error::other)?;
        let mut entry = service(format!("s{number}").leak(), number, "abay");
        (entry.requests, entry.minimum) = (1_000, 1);
        for i in first..size.min(first + PER_SERVICE) {
            let id = u32::try_from(i + 1).map_err(io::Error::other)?;
            let target = Target::start(Options::new(any_port(), number, id)).await?;
            entry.targets.push(TargetEntry {
                number: id,
                address: target.address(),
                zone: "a".to_owned(),
                incarnation: 1,
                state: "active",
            });
            targets.push(target);
        }
        services.push(entry);
    }
    let text = catalogue(1, &services);
    platform.publish_catalogue(&text);
    Ok((text, targets))
}

fn start(balancer: &str, platform: &Platform, dir: &std::path::Path) -> io::Result<Balancer> {
    let instance = Instance {
        name: "links-1".to_owned(),
        zone: "a".to_owned(),
        callers: any_port(),
        peers: any_port(),
        status: any_port(),
        state: "live",
    };
    platform.publish_instances(&instance_list(1, std::slice::from_ref(&instance)));
    let path = dir.join("settings.yaml");
    std::fs::write(&path, instance.settings(platform.address(), &[], "warning"))?;
    let mut command = Command::new(balancer);
    command.arg("--settings").arg(&path).stderr(Stdio::null());
    command.spawn().map(Balancer)
}

fn read_processor_seconds(pid: u32) -> io::Result<f64> {
    cpu_seconds(pid).ok_or_else(unreadable_statistics)
}

fn unreadable_statistics() -> io::Error {
    io::Error::other("the process's statistics cannot be read")
}
