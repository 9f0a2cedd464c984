//! Accepts TCP connections, with a limit on their number.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Delay after a failed accept, as when file descriptors have run out.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections while fewer than a limit are open. Further ones wait in the system's accept
/// queue, so that a flood cannot use up all file descriptors.
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

    /// Accepts the next connection. It counts towards the limit until the permit is dropped.
    pub async fn accept(&self) -> (TcpStream, OwnedSemaphorePermit) {
        loop {
            let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
                // The semaphore is never closed.
                std::future::pending().await
            };
            match self.listener.accept().await {
                Ok((stream, _)) => return (stream, permit),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}
