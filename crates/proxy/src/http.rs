//! Serves HTTP pages on one connection. Pages are built synchronously.

use std::convert::Infallible;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpStream;

/// A response with a page of any content type.
pub type Page = Response<Full<Bytes>>;

/// Answers the requests of a connection until it ends. The connection is closed if no complete
/// request arrives within `timeout`, which also covers clients that disappeared without closing it.
pub async fn serve_connection(
    stream: TcpStream,
    timeout: Duration,
    respond: impl Fn(&Request<Incoming>) -> Page,
) {
    let service = service_fn(|request| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut connection = http1::Builder::new();
    connection
        .timer(TokioTimer::new())
        .header_read_timeout(timeout);
    let served = connection.serve_connection(TokioIo::new(stream), service);
    // A client that closes the connection early is not an error of this process.
    drop(served.await);
}

/// Returns a plain-text page.
pub fn text(status: StatusCode, body: impl Into<String>) -> Page {
    let mut response = Response::new(Full::new(Bytes::from(body.into())));
    *response.status_mut() = status;
    response
}

/// Returns a page with a value as JSON.
pub fn json(value: &impl Serialize) -> Page {
    let body = serde_json::to_vec_pretty(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
