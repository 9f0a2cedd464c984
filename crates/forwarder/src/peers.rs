//! Exchange of beacons and messages with other instances, and reading of views from peers.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use slog::{info, warn};
use tanager_forward::{BEACON_INTERVAL, Beacon, Delta, Role, ViewVersion};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::datagram::send_datagram;
use crate::http::HttpClient;
use crate::instance::Instance;
use crate::{Error, Result};
use crate::{flow_messages, grants};

/// Largest beacon in bytes.
const BEACON_LIMIT: usize = 60_000;
/// Time-out for reading a peer's view.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after reading a peer's view, so that changes in quick succession are read together.
const PULL_PAUSE: Duration = Duration::from_millis(50);
/// Time between two rounds of beacons of an instance without a view. A peer's view has a fifth of
/// the size of the store's pages, which take small instances half a second to read.
const INITIAL_BEACON_INTERVAL: Duration = Duration::from_millis(80);
/// Minimum time between two rounds of beacons, so that changes are sent together.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Sends and receives beacons and messages about flows until the process ends.
pub async fn run(socket: UdpSocket, instance: Rc<Instance>) {
    let mut buffer = vec![0; BEACON_LIMIT];
    loop {
        send_beacons(&socket, &instance);
        grants::renew(&socket, &instance);
        instance.forwarder.borrow_mut().sweep(instance.now());
        instance.membership.borrow_mut().expire(instance.now());
        if instance.is_settle_due() {
            instance.pull_requested.notify_one();
        }
        instance.report();
        instance.reporter.log_suppressed_lines();
        instance.update_gauges();
        exchange_until_next_round(&socket, &mut buffer, &instance).await;
    }
}

/// Receives beacons and exchanges messages about flows until the next round of beacons is due.
async fn exchange_until_next_round(socket: &UdpSocket, buffer: &mut [u8], instance: &Instance) {
    let started = Instant::now();
    let interval = if instance.is_searching() {
        INITIAL_BEACON_INTERVAL
    } else {
        BEACON_INTERVAL
    };
    let mut end = started + interval;
    loop {
        tokio::select! {
            received = socket.recv_from(buffer) => match received {
                Ok((length, _)) => handle_datagram(&buffer[..length], socket, instance),
                Err(error) => slog::debug!(instance.reporter.log,
                    "[peer] receive failed"; "error" => %error),
            },
            () = instance.messages_queued.notified() => {
                flow_messages::send_queued(socket, instance);
            }
            // The round ends early when a change has to be sent.
            () = instance.beacon_requested.notified() => end = end.min(started + ROUND_PAUSE),
            () = sleep_until(end) => return,
        }
    }
}

fn handle_datagram(bytes: &[u8], socket: &UdpSocket, instance: &Instance) {
    if grants::is_grant_datagram(bytes) {
        return grants::handle(bytes, socket, instance);
    }
    if !flow_messages::is_flow_datagram(bytes) {
        return handle_beacon(bytes, socket, instance);
    }
    match flow_messages::decode(bytes) {
        Some(datagram) => flow_messages::handle(datagram, socket, instance),
        None => instance.reporter.counters.beacons_malformed.increment(),
    }
}

fn send_beacons(socket: &UdpSocket, instance: &Instance) {
    let role = instance.role();
    let now = instance.now();
    if role == Role::Hub {
        apply_peer_loads(instance, role);
    }
    let ring = instance.membership.borrow().ring_point(role, now);
    instance.forwarder.borrow_mut().set_ring_point(ring);
    let searching = instance.is_searching();
    let mut membership = instance.membership.borrow_mut();
    let recipients = membership.recipients(role, searching, now);
    drop(membership);
    let (same_zone, other): (Vec<_>, Vec<_>) = recipients
        .into_iter()
        .partition(|to| instance.membership.borrow().is_same_zone(*to));
    send_beacon(socket, instance, &same_zone, role);
    send_beacon(socket, instance, &other, role);
}

/// Sends the same beacons to several receivers, to each of a hub's zone with its position. Either all
/// of them are known to be in this instance's zone or none of them is.
fn send_beacon(socket: &UdpSocket, instance: &Instance, receivers: &[SocketAddrV4], role: Role) {
    let Some(first) = receivers.first() else {
        return;
    };
    let now = instance.now();
    let (view, loads) = {
        let mut forwarder = instance.forwarder.borrow_mut();
        let view = (forwarder.view().version(), forwarder.view_age(now));
        (view, forwarder.load_report(now))
    };
    let mut membership = instance.membership.borrow_mut();
    let beacons = membership.beacons(*first, role, view, &loads, now);
    let positions = (role == Role::Hub).then(|| membership.zone_positions(now));
    drop(membership);
    let sent = &instance.reporter.counters.beacons_sent;
    for mut beacon in beacons {
        // The first beacon of a hub's round tells each receiver its position.
        let differs = beacon.hub && beacon.load_part.index == 0;
        let group_size = if differs { 1 } else { receivers.len() };
        for group in receivers.chunks(group_size) {
            if differs {
                beacon.position = positions.as_ref().and_then(|p| p.get(group[0]));
            }
            let Some(bytes) = encode(&beacon, instance) else {
                return;
            };
            for to in group {
                send_datagram(socket, instance, &bytes, *to, sent);
            }
        }
    }
}

fn encode(beacon: &Beacon, instance: &Instance) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(beacon);
    if let Err(error) = &bytes {
        warn!(instance.reporter.log, "[peer] beacon not written"; "error" => %error);
    }
    bytes.ok()
}

fn handle_beacon(bytes: &[u8], socket: &UdpSocket, instance: &Instance) {
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
    let (is_new, misses_hub, newer) = {
        let mut membership = instance.membership.borrow_mut();
        let is_new = membership.is_new_incarnation(&beacon);
        membership.apply_beacon(&beacon, now);
        let forwarder = instance.forwarder.borrow();
        let view = forwarder.view().version();
        // Grants need every instance of the zone. Without rates, beacons stay as they were.
        let misses_hub =
            forwarder.view().routes().has_rates() && membership.misses_hub(&beacon, now);
        let newer = is_new || membership.peer_with_newer_view(view, now).is_some();
        (is_new, misses_hub, newer)
    };
    if is_new && !beacon.leaving {
        info!(instance.reporter.log, "[membership] instance heard";
            "instance" => %beacon.from, "incarnation" => %beacon.incarnation,
            "hub" => beacon.hub, "revision" => %beacon.view().revision);
    }
    if (is_new || misses_hub) && !beacon.leaving {
        send_beacon(socket, instance, &[beacon.from], role);
    }
    if role == Role::Leaf && beacon.hub {
        apply_peer_loads(instance, role);
    }
    let mut forwarder = instance.forwarder.borrow_mut();
    let revision = forwarder.view().revision();
    if let Some(at) = instance.membership.borrow().last_verified(revision) {
        forwarder.record_verified(at);
    }
    if newer {
        instance.pull_requested.notify_one();
    }
}

/// Applies the load that the other instances place on each target.
fn apply_peer_loads(instance: &Instance, role: Role) {
    let now = instance.now();
    let loads = instance.membership.borrow().peer_loads(role, now);
    let mut forwarder = instance.forwarder.borrow_mut();
    for (cookie, load) in loads {
        forwarder.apply_peer_load(cookie, &load, now);
    }
}

/// Reads newer views from peers until the process ends.
pub async fn pull_views(instance: Rc<Instance>) {
    // The first view is read from a peer even if the store has been read already: peers still
    // have the entries of targets that were removed before this instance started.
    let mut first = true;
    loop {
        instance.pull_requested.notified().await;
        let view = instance.forwarder.borrow().view().version_to_read();
        let reads_store = !view.revision.is_none() && instance.follows_store();
        let whole = first || instance.is_settle_due();
        let after = if whole { ViewVersion::default() } else { view };
        let peer = instance
            .membership
            .borrow()
            .peer_with_newer_view(after, instance.now());
        if let Some(peer) = peer.filter(|_| first || !reads_store) {
            match pull_view(&instance, peer, after).await {
                Ok(()) => first = false,
                Err(error) => warn!(instance.reporter.log, "[peer] view not read";
                    "peer" => %peer, "error" => %error),
            }
            sleep(PULL_PAUSE).await;
        }
    }
}

async fn pull_view(instance: &Instance, peer: SocketAddrV4, after: ViewVersion) -> Result<()> {
    let address = SocketAddrV4::new(*peer.ip(), instance.settings.views.port());
    let path = view_path(after);
    let mut client = HttpClient::new(address);
    let answer = client.get(&path, PULL_TIMEOUT).await?;
    if answer.status != StatusCode::OK {
        let status = answer.status.as_u16();
        return Err(Error::Refused { address, status });
    }
    let delta: std::result::Result<Delta, _> = postcard::from_bytes(&answer.body);
    instance.view_unreadable.set(delta.is_err());
    let delta = delta.map_err(Error::answer)?;
    instance.reporter.counters.views_pulled.increment();
    let now = instance.now();
    let mut forwarder = instance.forwarder.borrow_mut();
    let changed = forwarder.merge(delta, now);
    instance.held_released.notify_one();
    let view = forwarder.view();
    info!(instance.reporter.log, "[peer] view read"; "peer" => %peer,
        "revision" => %view.revision(), "before" => %after.revision, "changed" => changed.len(),
        "config" => view.routes().version);
    Ok(())
}

/// Returns the path of the page with what a peer has after a version of the view.
fn view_path(after: ViewVersion) -> String {
    format!("/view?after={}&routes={}", after.revision, after.routes)
}
