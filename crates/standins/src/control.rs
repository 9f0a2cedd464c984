//! A small HTTP server for the control endpoints of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use http_body_util::{BodyExt as _, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tanager_core::FastMap;
use tokio::net::TcpListener;

/// A request to a control endpoint.
#[derive(Debug, Clone)]
pub struct ControlRequest {
    /// The path, such as `/v1/catalogue`.
    pub path: String,
    /// The parameters of the query string.
    pub query: FastMap<String, String>,
    /// Whether the method is `PUT`; other methods are reads.
    pub put: bool,
    /// The body as text.
    pub body: String,
}

impl ControlRequest {
    /// Returns a query parameter, or `None` if it is absent or cannot be parsed.
    #[must_use]
    pub fn parameter<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.query.get(name)?.parse().ok()
    }
}

/// A status code and a body.
pub type Reply = (u16, String);

/// Handles a request.
pub type Handler =
    Arc<dyn Fn(ControlRequest) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// Starts a control server and returns its address.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn start(address: SocketAddr, handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            let service = service_fn(move |request| respond(Arc::clone(&handler), request));
            tokio::spawn(async move {
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(address)
}

async fn respond(
    handler: Handler,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let query = pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.to_owned()))
        .collect();
    let put = request.method() == hyper::Method::PUT;
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    let (status, text) = handler(ControlRequest {
        path,
        query,
        put,
        body,
    })
    .await;
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    Ok(response)
}
