use std::convert::Infallible;
use std::sync::Arc;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::Node;
use crate::status::StatusPage;

/// Decisions returned by `/explain` at most.
const EXPLAIN_LIMIT: usize = 100;

/// Serves the status pages, one task for each connection.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, Arc::clone(&node)))),
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, node: Arc<Node>) {
    let service = service_fn(move |request| {
        let response = respond(&node, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = hyper::server::conn::http1::Builder::new();
    // An operator that closes the connection early is no fault of this instance.
    let _ = connection
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/status" => json(&StatusPage::collect(node)),
        "/usage" => json(&StatusPage::collect(node).usage),
        "/explain" => json(&explain(node, request.uri().query().unwrap_or_default())),
        "/ready" if node.is_ready() => text(StatusCode::OK, "ready\n"),
        "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn explain(node: &Node, query: &str) -> Vec<crate::telemetry::Decision> {
    let id = query
        .split_once('=')
        .filter(|(key, _)| *key != "last")
        .map(|(_, id)| id);
    node.log.decisions().find(EXPLAIN_LIMIT, |d| {
        id.is_none_or(|id| d.flow.as_deref() == Some(id) || d.request.as_deref() == Some(id))
    })
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec_pretty(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}
