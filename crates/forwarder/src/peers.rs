//! Beacons between instances, and views that an instance reads from a peer.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use slog::{info, warn};
use tanager_forward::{BEACON_INTERVAL, Beacon, Delta, Role};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::http::HttpClient;
use crate::instance::Instance;
use crate::{Error, Result};

/// The largest beacon in bytes.
const BEACON_LIMIT: usize = 60_000;
/// Time that a peer may take to send its view.
const PULL_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two views read from peers, so that changes are read together.
const PULL_PAUSE: Duration = Duration::from_millis(50);
/// Time between two beacons of an instance that knows no view. A peer's view is a fifth of the
/// size of the store's pages, which take small instances half a second.
const SEARCH_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest time between two rounds of beacons, so that changes are told together.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Sends and receives beacons until the process ends.
pub async fn run(socket: UdpSocket, instance: Rc<Instance>) {
    let mut buffer = vec![0; BEACON_LIMIT];
    loop {
        send_round(&socket, &instance);
        instance.forwarder.borrow_mut().sweep(instance.now());
        instance.membership.borrow_mut().expire(instance.now());
        instance.report();
        instance.reporter.summarize();
        instance.publish_gauges();
        let begun = Instant::now();
        let round = async {
            loop {
                tokio::select! {
                    received = socket.recv_from(&mut buffer) => match received {
                        Ok((length, _)) => hear(&buffer[..length], &socket, &instance),
                        Err(error) => slog::debug!(instance.reporter.log,
                            "[peer] receive failed"; "error" => %error),
                    },
                    () = instance.changed.notified() => break,
                }
            }
        };
        // Either the view has changed or it is time for the next round.
        let interval = if instance.is_searching() {
            SEARCH_INTERVAL
        } else {
            BEACON_INTERVAL
        };
        drop(timeout_at(begun + interval, round).await);
        let pause = ROUND_PAUSE.saturating_sub(begun.elapsed());
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

fn send_round(socket: &UdpSocket, instance: &Instance) {
    let role = instance.role();
    let now = instance.now();
    if role == Role::Hub {
        take_loads(instance, role);
    }
    let searching = instance.is_searching();
    let mut membership = instance.membership.borrow_mut();
    let recipients = membership.recipients(role, searching, now);
    drop(membership);
    let (near, far): (Vec<_>, Vec<_>) = recipients
        .into_iter()
        .partition(|to| instance.membership.borrow().is_same_zone(*to));
    send(socket, instance, &near, role);
    send(socket, instance, &far, role);
}

/// Sends one beacon to receivers that are all in the own zone, or all not known to be.
fn send(socket: &UdpSocket, instance: &Instance, receivers: &[SocketAddrV4], role: Role) {
    let Some(first) = receivers.first() else {
        return;
    };
    let now = instance.now();
    let (view, loads) = {
        let mut forwarder = instance.forwarder.borrow_mut();
        let view = (forwarder.view().revision(), forwarder.view_age(now));
        (view, forwarder.load_report(now))
    };
    let mut membership = instance.membership.borrow_mut();
    let beacon = membership.beacon(*first, role, view, &loads, now);
    let log = &instance.reporter.log;
    let bytes = match postcard::to_stdvec(&beacon) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(log, "[peer] beacon not written"; "error" => %error);
            return;
        }
    };
    for to in receivers {
        match socket.try_send_to(&bytes, (*to).into()) {
            Ok(_) => instance.reporter.counters.beacons_sent.increment(),
            Err(error) => slog::debug!(log, "[peer] send failed"; "error" => %error),
        }
    }
}

fn hear(bytes: &[u8], socket: &UdpSocket, instance: &Instance) {
    let counters = &instance.reporter.counters;
    let beacon: Beacon = match postcard::from_bytes(bytes) {
        Ok(beacon) => beacon,
        Err(error) => {
            counters.beacons_malformed.increment();
            slog::debug!(instance.reporter.log, "[peer] beacon malformed"; "error" => %error);
            return;
        }
    };
    counters.beacons_received.increment();
    let now = instance.now();
    let role = instance.role();
    let (is_new, newer) = {
        let mut membership = instance.membership.borrow_mut();
        let is_new = membership.is_new_incarnation(&beacon);
        membership.apply_beacon(&beacon, now);
        let revision = instance.forwarder.borrow().view().revision();
        let newer = is_new || membership.peer_with_newer_view(revision, now).is_some();
        (is_new, newer)
    };
    if is_new && !beacon.leaving {
        info!(instance.reporter.log, "[membership] instance heard";
            "instance" => %beacon.from, "incarnation" => %beacon.incarnation,
            "hub" => beacon.hub, "revision" => beacon.revision);
        send(socket, instance, &[beacon.from], role);
    }
    if role == Role::Leaf && beacon.hub {
        take_loads(instance, role);
    }
    let mut forwarder = instance.forwarder.borrow_mut();
    let revision = forwarder.view().revision();
    if let Some(at) = instance.membership.borrow().last_verified(revision) {
        forwarder.record_verified(at);
    }
    if newer {
        instance.newer_view.notify_one();
    }
}

/// Takes over what the other instances have at each target.
fn take_loads(instance: &Instance, role: Role) {
    let now = instance.now();
    let loads = instance.membership.borrow().peer_loads(role, now);
    let mut forwarder = instance.forwarder.borrow_mut();
    for (cookie, load) in loads {
        forwarder.apply_peer_load(cookie, &load, now);
    }
}

/// Reads newer views from peers until the process ends.
pub async fn pull_views(instance: Rc<Instance>) {
    // The first view is read from a peer also when the store was read, since peers still know
    // targets that were removed before this instance started.
    let mut first = true;
    loop {
        instance.newer_view.notified().await;
        let revision = instance.forwarder.borrow().view().revision();
        let reads_itself = instance.role() == Role::Hub && revision > 0 && instance.reads();
        let after = if first { 0 } else { revision };
        let peer = instance
            .membership
            .borrow()
            .peer_with_newer_view(after, instance.now());
        if let Some(peer) = peer.filter(|_| first || !reads_itself) {
            match pull(&instance, peer, after).await {
                Ok(()) => first = false,
                Err(error) => warn!(instance.reporter.log, "[peer] view not read";
                    "peer" => %peer, "error" => %error),
            }
            sleep(PULL_PAUSE).await;
        }
    }
}

async fn pull(instance: &Instance, peer: SocketAddrV4, revision: u64) -> Result<()> {
    let address = SocketAddrV4::new(*peer.ip(), instance.settings.views.port());
    let path = format!("/view?after={revision}");
    let mut client = HttpClient::new(address);
    let (status, body) = client.get(&path, PULL_LIMIT).await?;
    if status != StatusCode::OK {
        let status = status.as_u16();
        return Err(Error::Refused { address, status });
    }
    let delta: Delta = postcard::from_bytes(&body).map_err(Error::answer)?;
    instance.reporter.counters.views_pulled.increment();
    let now = instance.now();
    let mut forwarder = instance.forwarder.borrow_mut();
    let changed = forwarder.merge(delta, now);
    instance.view_changed.notify_one();
    let view = forwarder.view();
    info!(instance.reporter.log, "[peer] view read"; "peer" => %peer,
        "revision" => view.revision(), "before" => revision, "changed" => changed.len(),
        "config" => view.routes().version);
    Ok(())
}
