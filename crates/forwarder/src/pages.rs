//! HTTP pages: readiness, metrics, status, and this instance's view for its peers.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use slog::warn;
use tanager_forward::{Evacuation, FlowKey, ViewVersion};
use tanagerproxy::accept::Acceptor;
use tanagerproxy::http::{self, Page, json, text};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::instance::Instance;
use crate::report::millis;

/// Time after which a connection without a complete request is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of simultaneous connections per address.
const CONNECTION_LIMIT: usize = 256;

/// Which pages an address serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pages {
    /// Whether the instance accepts packets.
    Ready,
    /// Counters, gauges and histograms, the state of the view, and explanations of decisions.
    Metrics,
    /// The view, for other instances.
    View,
}

/// Serves pages until the process ends, one task for each connection.
pub async fn serve(listener: TcpListener, pages: Pages, instance: Rc<Instance>) {
    let acceptor = Acceptor::new(listener, CONNECTION_LIMIT);
    loop {
        let (stream, permit) = acceptor.accept().await;
        let instance = Rc::clone(&instance);
        drop(spawn_local(async move {
            let respond = |request: &Request<Incoming>| respond(request, pages, &instance);
            http::serve_connection(stream, REQUEST_TIMEOUT, respond).await;
            drop(permit);
        }));
    }
}

fn respond(request: &Request<Incoming>, pages: Pages, instance: &Instance) -> Page {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match (pages, request.uri().path()) {
        (Pages::Ready, "/ready") => ready(instance),
        (Pages::Metrics, "/metrics") => metrics(instance),
        (Pages::Metrics, "/status") => json(&Status::new(instance)),
        (Pages::View, "/view") => view(request.uri().query().unwrap_or(""), instance),
        (Pages::Metrics, "/explain") => explain(request.uri().query().unwrap_or(""), instance),
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn ready(instance: &Instance) -> Page {
    if instance.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(instance: &Instance) -> Page {
    instance.update_gauges();
    match instance.reporter.metrics() {
        Ok(page) => text(StatusCode::OK, page),
        Err(error) => {
            warn!(instance.reporter.log, "[status] no metrics"; "error" => %error);
            text(StatusCode::INTERNAL_SERVER_ERROR, "no metrics\n")
        }
    }
}

/// The page `/status`.
#[derive(Serialize)]
struct Status {
    /// The revision up to which the view is complete.
    revision: String,
    /// Time since the view was known to be complete; `None` before the first reading.
    view_age_ms: Option<u64>,
    /// The evacuations in force, by zone.
    evacuations: Vec<EvacuationStatus>,
}

#[derive(Serialize)]
struct EvacuationStatus {
    zone: String,
    /// The revision at which it was published.
    revision: String,
    /// Time for which this instance has followed it.
    age_ms: u64,
}

impl Status {
    fn new(instance: &Instance) -> Self {
        let now = instance.now();
        let forwarder = instance.forwarder.borrow();
        let status = |e: &Evacuation| EvacuationStatus {
            zone: e.zone.to_string(),
            revision: e.revision.to_string(),
            age_ms: millis(now.since(e.since)),
        };
        let mut evacuations: Vec<_> = forwarder.view().evacuations().map(status).collect();
        evacuations.sort_unstable_by(|a, b| a.zone.cmp(&b.zone));
        Self {
            revision: forwarder.view().revision().to_string(),
            view_age_ms: forwarder.view_age(now).map(millis),
            evacuations,
        }
    }
}

fn view(query: &str, instance: &Instance) -> Page {
    let Some(after) = parse_version(query) else {
        return text(
            StatusCode::BAD_REQUEST,
            "expected after=EPOCH:NUMBER&routes=VERSION\n",
        );
    };
    let delta = instance.forwarder.borrow().view().delta(after);
    match postcard::to_stdvec(&delta) {
        Ok(bytes) => Response::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            warn!(instance.reporter.log, "[peer] view not sent"; "error" => %error);
            text(StatusCode::INTERNAL_SERVER_ERROR, "no view\n")
        }
    }
}

/// Returns what would happen now to the opening of a flow. Nothing is sent or changed.
fn explain(query: &str, instance: &Instance) -> Page {
    let Some(flow) = parse_flow(query) else {
        let expected = "expected flow=CLIENT:PORT%3ESERVICE:PORT\n";
        return text(StatusCode::BAD_REQUEST, expected);
    };
    let now = instance.now();
    let explanation = instance.forwarder.borrow().explain(&flow, now);
    json(&explanation)
}

/// Parses the flow in the query of a request, which may be percent-encoded.
fn parse_flow(query: &str) -> Option<FlowKey> {
    let flow = query.strip_prefix("flow=")?;
    let decoded = percent_decode_str(flow).decode_utf8().ok()?;
    decoded.parse().ok()
}

/// Parses the version of a peer's view in the query of a request.
fn parse_version(query: &str) -> Option<ViewVersion> {
    let (revision, routes) = query.strip_prefix("after=")?.split_once("&routes=")?;
    Some(ViewVersion {
        revision: revision.parse().ok()?,
        routes: routes.parse().ok()?,
    })
}
