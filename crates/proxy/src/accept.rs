//! Accepts TCP connections, with a limit on their number.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Pause after a connection could not be accepted, as when descriptors have run out.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections while fewer than a limit are open. Further ones wait in the system's
/// queue, so that a flood cannot take all descriptors.
pub struct Acceptor {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl Acceptor {
    /// Creates an acceptor that has at most `limit` connections open.
    #[must_use]
    pub fn new(listener: TcpListener, limit: usize) -> Self {
        Self {
            listener,
            permits: Arc::new(Semaphore::new(limit)),
        }
    }

    /// Returns the next connection. It counts until the permit is dropped.
    pub async fn accept(&self) -> (TcpStream, OwnedSemaphorePermit) {
        loop {
            let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
                // Nobody closes the semaphore.
                std::future::pending().await
            };
            match self.listener.accept().await {
                Ok((stream, _)) => return (stream, permit),
                Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
            }
        }
    }
}
