//! One connection to a peer, opened when it is needed.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarpc::client::{Config, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};

use crate::peer::Network;
use crate::peer::client::CALL_TIMEOUT;
use crate::peer::service::PeerClient;

/// Maximum wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed attempt, calls fail at once for this long.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of calls in flight to one peer. Further ones fail at once, so that calls to a
/// frozen peer do not accumulate tasks and memory.
pub(super) const CALL_LIMIT: usize = 256;
/// A connection on which a call times out is replaced if no call has succeeded for this long.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// The one connection to a peer, opened by the first call.
pub(super) struct Connection {
    address: SocketAddr,
    network: Arc<dyn Network>,
    calls: Semaphore,
    /// Held while connecting, so that concurrent calls open one connection.
    client: tokio::sync::Mutex<Option<Connected>>,
    state: Mutex<State>,
}

#[derive(Clone)]
struct Connected {
    client: PeerClient,
    number: u64,
}

struct State {
    /// When a call was last made.
    last_used: Instant,
    /// When a call last succeeded or the connection was opened.
    last_success: Instant,
    last_failure: Option<Instant>,
    /// Connections opened so far.
    opened: u64,
}

impl Connection {
    pub(super) fn new(address: SocketAddr, network: Arc<dyn Network>) -> Self {
        let now = Instant::now();
        Self {
            address,
            network,
            calls: Semaphore::new(CALL_LIMIT),
            client: tokio::sync::Mutex::new(None),
            state: Mutex::new(State {
                last_used: now,
                last_success: now,
                last_failure: None,
                opened: 0,
            }),
        }
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that a call is about to be made.
    pub(super) fn touch(&self) {
        self.lock().last_used = Instant::now();
    }

    /// Restarts the idle time if a call is in progress.
    pub(super) fn touch_if_in_use(&self) {
        if !self.is_unused() {
            self.touch();
        }
    }

    pub(super) fn last_used(&self) -> Instant {
        self.lock().last_used
    }

    pub(super) fn is_unused(&self) -> bool {
        self.calls.available_permits() == CALL_LIMIT
    }

    /// Makes a call, connecting first if needed, and returns the cause if it fails.
    pub(super) async fn call<T, F>(&self, call: impl FnOnce(PeerClient) -> F) -> Result<T, String>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let _permit = self
            .calls
            .try_acquire()
            .map_err(|_| "too many calls are in flight".to_owned())?;
        let connected = timeout(CONNECT_TIMEOUT + RECONNECT_DELAY, self.connect()).await;
        let connected =
            connected.map_err(|_| "no connection within the time limit".to_owned())??;
        // The call's own deadline does not cover the wait for a full send buffer.
        let reply = timeout(CALL_TIMEOUT, call(connected.client)).await;
        match reply {
            Ok(Ok(reply)) => {
                self.lock().last_success = Instant::now();
                Ok(reply)
            }
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => {
                // A busy peer is not disconnected for one late reply.
                if self.lock().last_success.elapsed() >= UNRESPONSIVE_TIMEOUT {
                    self.close(connected.number).await;
                }
                Err("no reply in time".to_owned())
            }
            Ok(Err(error)) => {
                self.close(connected.number).await;
                Err(error.to_string())
            }
        }
    }

    async fn connect(&self) -> Result<Connected, String> {
        let mut client = self.client.lock().await;
        if let Some(connected) = &*client {
            return Ok(connected.clone());
        }
        if self
            .lock()
            .last_failure
            .is_some_and(|at| at.elapsed() < RECONNECT_DELAY)
        {
            return Err("the last attempt to connect has just failed".to_owned());
        }
        // Recorded as failed until it succeeds, also when this call is cancelled.
        self.lock().last_failure = Some(Instant::now());
        let connecting = timeout(CONNECT_TIMEOUT, self.network.connect(self.address)).await;
        let connecting = connecting.map_err(|e| e.to_string());
        let stream = match connecting.and_then(|s| s.map_err(|e| e.to_string())) {
            Ok(stream) => stream,
            Err(cause) => {
                self.lock().last_failure = Some(Instant::now());
                return Err(cause);
            }
        };
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let mut state = self.lock();
        state.last_failure = None;
        state.last_success = Instant::now();
        state.opened += 1;
        let connected = Connected {
            client: PeerClient::new(Config::default(), transport).spawn(),
            number: state.opened,
        };
        *client = Some(connected.clone());
        Ok(connected)
    }

    /// Drops the connection with the given number, so that the next call opens a new one.
    async fn close(&self, number: u64) {
        let mut client = self.client.lock().await;
        if client.as_ref().is_some_and(|c| c.number == number) {
            *client = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
