//! Serves status, usage, decisions and metrics over HTTP.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, header};
use tokio::net::TcpListener;

use crate::Node;
use crate::accept::Acceptor;
use crate::http::{self, json, text};
use crate::status::explain::ExplainQuery;
use crate::status::metrics;
use crate::status::{StatusPage, UsagePage};
use crate::telemetry::{Exporter, Part};

/// A connection without a complete request for this long is closed. This also closes connections
/// of clients that disappeared without closing them.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections served at the same time. The pages are read by operators and a few collectors.
const CONNECTION_LIMIT: usize = 256;

/// Sources of the pages.
struct Pages {
    node: Arc<Node>,
    /// `None` if the exporter could not be created.
    metrics: Option<Exporter>,
}

/// Serves the status pages, one task for each connection.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let metrics = metrics::for_node(&node);
    if let Err(error) = &metrics {
        node.log.warn(Part::Status, error);
    }
    let pages = Arc::new(Pages {
        node,
        metrics: metrics.ok(),
    });
    let acceptor = Acceptor::new(listener, CONNECTION_LIMIT);
    loop {
        let (stream, permit) = acceptor.accept().await;
        let pages = Arc::clone(&pages);
        drop(tokio::spawn(async move {
            http::serve_connection(stream, REQUEST_TIMEOUT, |request| pages.respond(request)).await;
            drop(permit);
        }));
    }
}

impl Pages {
    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "pages are read only\n");
            let allowed = header::HeaderValue::from_static("GET");
            response.headers_mut().insert(header::ALLOW, allowed);
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        match (request.uri().path(), query) {
            ("/explain", query) => self.explain(query),
            ("/status", "") => json(&StatusPage::collect(&self.node)),
            ("/usage", "") => json(&UsagePage::collect(&self.node, false)),
            ("/usage", "rows=all") => json(&UsagePage::collect(&self.node, true)),
            ("/metrics", "") => self.metrics(),
            ("/ready", "") if self.node.is_ready() => text(StatusCode::OK, "ready\n"),
            ("/ready", "") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            ("/status" | "/usage" | "/metrics" | "/ready", _) => {
                text(StatusCode::BAD_REQUEST, "unknown query\n")
            }
            _ => text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn explain(&self, query: &str) -> Response<Full<Bytes>> {
        let query = match ExplainQuery::parse(query) {
            Ok(query) => query,
            Err(message) => return text(StatusCode::BAD_REQUEST, message),
        };
        let decisions = self.node.log.decisions();
        let found = decisions.find(query.limit(), |d| query.matches(d));
        if found.is_empty() && !matches!(query, ExplainQuery::Last(_)) {
            return text(
                StatusCode::NOT_FOUND,
                "this instance keeps no decision about it\n",
            );
        }
        json(&found)
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let Some(metrics) = &self.metrics else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no metrics\n");
        };
        let page = match metrics.text() {
            Ok(page) => page,
            Err(error) => {
                self.node.log.warn(Part::Status, &error);
                return text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "metrics cannot be written\n",
                );
            }
        };
        let mut response = text(StatusCode::OK, page);
        let content_type = header::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}
