//! What other processes read over HTTP: readiness, metrics and this instance's view.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tanagerproxy::accept::Acceptor;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::instance::Instance;

/// A connection without a complete request for this long is closed.
const REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// Connections that are served at the same time on one address.
const CONNECTION_LIMIT: usize = 256;

/// Which pages an address serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pages {
    /// Whether the instance takes packets.
    Ready,
    /// Counters, gauges and histograms.
    Metrics,
    /// The view, for other instances.
    View,
}

/// Serves pages until the process ends, one task for each connection.
pub async fn serve(listener: TcpListener, pages: Pages, instance: Rc<Instance>) {
    let acceptor = Acceptor::new(listener, CONNECTION_LIMIT);
    loop {
        let (stream, permit) = acceptor.next().await;
        let instance = Rc::clone(&instance);
        drop(spawn_local(async move {
            serve_connection(stream, pages, instance).await;
            drop(permit);
        }));
    }
}

async fn serve_connection(stream: TcpStream, pages: Pages, instance: Rc<Instance>) {
    let service = service_fn(move |request| {
        let response = respond(&request, pages, &instance);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut connection = http1::Builder::new();
    connection
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_LIMIT);
    // A client that closes early is no fault of this instance.
    drop(
        connection
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

fn respond<B>(request: &Request<B>, pages: Pages, instance: &Instance) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match (pages, request.uri().path()) {
        (Pages::Ready, "/ready") => ready(instance),
        (Pages::Metrics, "/metrics") => metrics(instance),
        (Pages::View, "/view") => view(request.uri().query().unwrap_or(""), instance),
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn ready(instance: &Instance) -> Response<Full<Bytes>> {
    if instance.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(instance: &Instance) -> Response<Full<Bytes>> {
    instance.publish_gauges();
    match instance.reporter.metrics() {
        Ok(page) => text(StatusCode::OK, page),
        Err(error) => {
            warn!(instance.reporter.log, "[status] no metrics"; "error" => %error);
            text(StatusCode::INTERNAL_SERVER_ERROR, "no metrics\n")
        }
    }
}

fn view(query: &str, instance: &Instance) -> Response<Full<Bytes>> {
    let Some(after) = query.strip_prefix("after=").and_then(|n| n.parse().ok()) else {
        return text(StatusCode::BAD_REQUEST, "expected after=REVISION\n");
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

fn text(status: StatusCode, body: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.into())));
    *response.status_mut() = status;
    response
}
