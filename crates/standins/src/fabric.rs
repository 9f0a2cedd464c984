//! The fabric: hands each datagram of a caller to a random balancer, with faults on request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::FastMap;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// A caller that receives nothing for this long is forgotten. Open flows receive acknowledgements
/// several times a second.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Faults of the fabric, for datagrams in both directions.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Faults {
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Share of datagrams delivered twice, 0 to 1.
    pub duplicates: f64,
    /// Share of datagrams delayed by a random part of `delay`, 0 to 1.
    pub delayed: f64,
    /// Longest extra delay.
    pub delay: Duration,
}

/// A running fabric. Dropping the last handle leaves its tasks running until the process ends.
#[derive(Clone)]
pub struct Fabric {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    front: UdpSocket,
    state: Mutex<State>,
}

struct State {
    balancers: Vec<SocketAddr>,
    faults: Faults,
    rng: StdRng,
    /// One socket for each caller, so that balancers see callers apart.
    callers: FastMap<SocketAddr, Arc<UdpSocket>>,
}

impl Fabric {
    /// Starts a fabric in front of `balancers`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        balancers: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<Self> {
        let front = UdpSocket::bind(address).await?;
        let address = front.local_addr()?;
        let state = Mutex::new(State {
            balancers,
            faults: Faults::default(),
            rng: StdRng::seed_from_u64(seed),
            callers: FastMap::default(),
        });
        let shared = Arc::new(Shared { front, state });
        tokio::spawn(receive_callers(Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Returns where callers send to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the balancers that receive datagrams.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        self.shared.lock().balancers = balancers;
    }

    /// Changes some of the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Makes the fabric forget a caller's mapping, so that its open flows fall silent towards
    /// the caller until it sends again.
    pub fn discard_caller_mappings(&self) {
        self.shared.lock().callers.clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the caller still uses this socket, and forgets it if it is idle. Otherwise
    /// a long run would keep the sockets of all callers that ended.
    fn keep(&self, caller: SocketAddr, socket: &Arc<UdpSocket>, idle: bool) -> bool {
        let mut state = self.lock();
        let mapped = state.callers.get(&caller);
        let used = mapped.is_some_and(|s| Arc::ptr_eq(s, socket));
        if used && idle {
            state.callers.remove(&caller);
        }
        used && !idle
    }

    fn balancer(&self) -> Option<SocketAddr> {
        let mut state = self.lock();
        let count = state.balancers.len();
        let index = (count > 0).then(|| state.rng.random_range(0..count))?;
        Some(state.balancers[index])
    }

    /// Returns the extra delay of each copy that is delivered.
    fn copies(&self) -> Vec<Duration> {
        let mut state = self.lock();
        let faults = state.faults;
        if state.rng.random_bool(faults.loss) {
            return Vec::new();
        }
        let count = if state.rng.random_bool(faults.duplicates) {
            2
        } else {
            1
        };
        let mut delay = || {
            let late = state.rng.random_bool(faults.delayed);
            let share: f64 = state.rng.random();
            if late {
                faults.delay.mul_f64(share)
            } else {
                Duration::ZERO
            }
        };
        (0..count).map(|_| delay()).collect()
    }
}

async fn receive_callers(shared: Arc<Shared>) {
    let mut buf = vec![0; 2_048];
    loop {
        let Ok((size, caller)) = shared.front.recv_from(&mut buf).await else {
            continue;
        };
        let Some(socket) = caller_socket(&shared, caller).await else {
            continue;
        };
        for delay in shared.copies() {
            let Some(balancer) = shared.balancer() else {
                continue;
            };
            if delay.is_zero() {
                let _ = socket.send_to(&buf[..size], balancer).await;
            } else {
                let (socket, bytes) = (Arc::clone(&socket), buf[..size].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = socket.send_to(&bytes, balancer).await;
                });
            }
        }
    }
}

async fn caller_socket(shared: &Arc<Shared>, caller: SocketAddr) -> Option<Arc<UdpSocket>> {
    let known = shared.lock().callers.get(&caller).cloned();
    if known.is_some() {
        return known;
    }
    let socket = Arc::new(
        UdpSocket::bind((shared.front.local_addr().ok()?.ip(), 0))
            .await
            .ok()?,
    );
    shared.lock().callers.insert(caller, Arc::clone(&socket));
    tokio::spawn(receive_balancers(
        Arc::clone(shared),
        caller,
        Arc::clone(&socket),
    ));
    Some(socket)
}

async fn receive_balancers(shared: Arc<Shared>, caller: SocketAddr, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; 2_048];
    loop {
        let received = timeout(IDLE_LIMIT, socket.recv_from(&mut buf)).await;
        if !shared.keep(caller, &socket, received.is_err()) {
            return;
        }
        let Ok(Ok((size, _))) = received else {
            continue;
        };
        for delay in shared.copies() {
            if delay.is_zero() {
                let _ = shared.front.send_to(&buf[..size], caller).await;
            } else {
                let (shared, bytes) = (Arc::clone(&shared), buf[..size].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = shared.front.send_to(&bytes, caller).await;
                });
            }
        }
    }
}
