//! Answers HTTP requests on one connection, for pages that are made at once.

use std::convert::Infallible;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

/// A page of any kind.
pub type Page = Response<Full<Bytes>>;

/// Answers the requests of a connection until it ends. Without a complete request for `limit` it
/// is closed, which also ends those whose client vanished without a word.
pub async fn serve_connection(
    stream: TcpStream,
    limit: Duration,
    respond: impl Fn(&Request<Incoming>) -> Page,
) {
    let service = service_fn(|request| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut connection = http1::Builder::new();
    connection
        .timer(TokioTimer::new())
        .header_read_timeout(limit);
    let served = connection.serve_connection(TokioIo::new(stream), service);
    // A client that closes the connection early is no fault of this process.
    drop(served.await);
}

/// Returns a page of plain text.
pub fn text(status: StatusCode, body: impl Into<String>) -> Page {
    let mut response = Response::new(Full::new(Bytes::from(body.into())));
    *response.status_mut() = status;
    response
}
