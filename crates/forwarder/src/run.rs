//! Startup and shutdown of an instance.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tanager_core::Clock;
use tanagerproxy::settings::ForwarderSettings;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::instance::Instance;
use crate::pages::Pages;
use crate::report::Reporter;
use crate::source::Source;
use crate::{Error, PacketFormat, Result, clients, pages, peers, reader, reload};

/// Time from a stop signal to the end of the process. Routers detect that the instance is not ready
/// after two checks half a second apart, and packets in transit still arrive after that.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// The runtime of the process with the signals that it handles.
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Creates the runtime and installs the signal handlers. Until then, SIGHUP ends the process, so
    /// a program should call this first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signals`] if the runtime or a handler cannot be created.
    pub fn install() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Signals)?;
        let guard = runtime.enter();
        let hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
        let terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
        drop(guard);
        Ok(Self {
            runtime,
            terminate,
            interrupt,
            hangup,
        })
    }
}

/// Runs an instance until a signal stops it. `settings` were read from `path`, which is read again
/// when they are reloaded.
///
/// # Errors
///
/// Returns an error if a socket cannot be opened or metrics cannot be set up.
pub fn run<S, F>(
    settings: ForwarderSettings,
    path: PathBuf,
    format: F,
    signals: Signals,
) -> Result<()>
where
    S: Source + 'static,
    F: PacketFormat + 'static,
{
    let clock = Clock::start();
    let reporter = Reporter::try_new(&settings.log, clock)?;
    let instance = Instance::new(settings, clock, reporter);
    let Signals {
        runtime,
        mut terminate,
        mut interrupt,
        hangup,
    } = signals;
    LocalSet::new().block_on(&runtime, async move {
        start::<S, F>(&instance, format).await?;
        drop(spawn_local(reload::run(hangup, path, Rc::clone(&instance))));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop(&instance).await;
        Ok(())
    })
}

async fn stop(instance: &Instance) {
    info!(instance.reporter.log, "[node] stopping"; "after" => ?LEAVE_TIME);
    instance.leave();
    sleep(LEAVE_TIME).await;
    info!(instance.reporter.log, "[node] stopped");
}

/// Opens all sockets and starts the tasks.
async fn start<S, F>(instance: &Rc<Instance>, format: F) -> Result<()>
where
    S: Source + 'static,
    F: PacketFormat + 'static,
{
    let settings = &instance.settings;
    let clients = bind_udp(settings.clients).await?;
    let beacons = bind_udp(settings.beacons).await?;
    for (address, pages) in [
        (settings.ready, Pages::Ready),
        (settings.views, Pages::View),
        (settings.metrics, Pages::Metrics),
    ] {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Listen { address, source })?;
        drop(spawn_local(pages::serve(
            listener,
            pages,
            Rc::clone(instance),
        )));
    }
    info!(instance.reporter.log, "[node] started"; "name" => %settings.name,
        "zone" => %settings.zone, "clients" => %settings.clients,
        "store" => %settings.store, "version" => env!("CARGO_PKG_VERSION"));
    drop(spawn_local(clients::run(
        clients,
        format,
        Rc::clone(instance),
    )));
    drop(spawn_local(peers::run(beacons, Rc::clone(instance))));
    drop(spawn_local(peers::pull_views(Rc::clone(instance))));
    drop(spawn_local(reader::run::<S>(Rc::clone(instance))));
    Ok(())
}

async fn bind_udp(address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| Error::Listen { address, source })
}
