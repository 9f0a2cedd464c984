//! HTTP client with one connection to the store or a peer, kept open between requests that follow one
//! another.

use std::net::SocketAddrV4;
use std::time::Duration;

use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tanager_core::Clock;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::{Error, Result};

/// Time-out for establishing a connection. The system retransmits a lost SYN only after a second,
/// so a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time since its last answer for which a connection is used again. Something on the way may forget an
/// idle connection, and only a time-out would show it. Longer than the pauses between the calls of an
/// instance that reads continuously.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

struct Connection {
    requests: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
    /// Started when the last answer arrived.
    idle: Clock,
}

impl Connection {
    /// Returns whether the connection may be used for another request.
    fn is_usable(&self) -> bool {
        !self.requests.is_closed() && self.idle.now().since(Clock::START) < IDLE_LIMIT
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task of a connection to an unreachable peer would wait for an answer forever.
        self.task.abort();
    }
}

/// A complete answer to a request.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A client of one HTTP server that has at most one request in progress.
pub struct HttpClient {
    address: SocketAddrV4,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Creates a client; it connects with its first request.
    #[must_use]
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sends a GET request. If the response does not arrive within `limit`, the request fails. A
    /// failed request closes the connection, and one that was idle is replaced. Establishing a
    /// connection has its own time-out.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if there is no response within the time limit.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<Answer> {
        // Moved out of `self`, so that a cancelled or failed request also closes the connection.
        let connection = match self.connection.take() {
            Some(connection) if connection.is_usable() => connection,
            _ => self.connect().await?,
        };
        let mut connection = connection;
        let call = exchange(&mut connection.requests, self.address, path);
        let answer = timeout(limit, call)
            .await
            .map_err(|_| Error::unreachable(self.address, "no answer within the time limit"))??;
        connection.idle = Clock::start();
        self.connection = Some(connection);
        Ok(answer)
    }

    /// Closes the connection, so that the next request is sent on a new one. To be called after an
    /// answer that cannot belong to its request: all later ones on the connection are in doubt.
    pub fn close(&mut self) {
        self.connection = None;
    }

    async fn connect(&self) -> Result<Connection> {
        let address = self.address;
        let unreachable = |detail: &dyn std::fmt::Display| Error::unreachable(address, detail);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable(&"no connection within the time limit"))?
            .map_err(|e| unreachable(&e))?;
        stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
        let (requests, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unreachable(&e))?;
        let task = tokio::task::spawn_local(async move {
            // The request in progress reports the error.
            drop(connection.await);
        });
        Ok(Connection {
            requests,
            task,
            idle: Clock::start(),
        })
    }
}

async fn exchange(
    requests: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddrV4,
    path: &str,
) -> Result<Answer> {
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::new())
        .map_err(|e| Error::unreachable(address, e))?;
    let sent = requests.send_request(request).await;
    let response = sent.map_err(|e| Error::unreachable(address, e))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await;
    let body = body.map_err(|e| Error::unreachable(address, e))?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
