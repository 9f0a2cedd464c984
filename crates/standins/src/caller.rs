//! Callers: feeds that stay open, repeatable and non-repeatable requests, and what became of them.

mod feed;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FastMap, FlowId, Millis, RequestId, ResultCode, RunState, ServiceId};
use tanager_wire::{
    Assembly, Binding, Cancel, Datagram, DatagramBody, Deadline, FlowKind, FragmentMap, Open,
    Request,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Time between repeated opens and requests that got no reply.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Wait after a refusal by a leaving instance.
const LEAVING_PAUSE: Duration = Duration::from_millis(20);
/// Longest time between repeated requests; the time doubles from [`REPEAT_INTERVAL`], so that
/// callers of an overloaded service do not multiply the load.
const REPEAT_LIMIT: Duration = Duration::from_millis(1_600);
/// Longest wait for a flow to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the deadline during which a caller still asks for its answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Names the reason for giving up without a reply.
const NO_REPLY: ResultCode = ResultCode::OutcomeLost;

pub use feed::{FeedBreak, FeedReport};

type Inboxes = Arc<Mutex<FastMap<[u8; 16], mpsc::UnboundedSender<DatagramBody>>>>;

/// One caller with a socket of its own.
#[derive(Clone)]
pub struct Caller {
    socket: Arc<UdpSocket>,
    inboxes: Inboxes,
    service: ServiceId,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered(Bytes),
    /// It was refused and may or may not have run.
    Refused(ResultCode, RunState),
}

/// A session: requests that share one executor.
#[derive(Debug, Clone)]
pub struct Session {
    token: Bytes,
    issued: Millis,
    received: Instant,
    binding: Binding,
}

impl Caller {
    /// Opens a caller's socket towards the fabric (or a balancer).
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub async fn start(fabric: SocketAddr, service: u32) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind((fabric.ip(), 0)).await?);
        socket.connect(fabric).await?;
        let inboxes = Inboxes::default();
        tokio::spawn(receive(Arc::clone(&socket), Arc::clone(&inboxes)));
        Ok(Self {
            socket,
            inboxes,
            service: ServiceId::new(service),
        })
    }

    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal, or [`ResultCode::OutcomeLost`] if there was no reply.
    pub async fn session(&self) -> Result<Session, ResultCode> {
        let inbox = self.inbox(*FlowId::random().as_bytes());
        self.open(inbox, FlowKind::Session, 0)
            .await
            .map(|(_, session)| session)
    }

    async fn open(
        &self,
        mut inbox: Inbox,
        kind: FlowKind,
        resume_from: u64,
    ) -> Result<(Inbox, Session), ResultCode> {
        let flow = FlowId::new(inbox.id);
        let end = Instant::now() + OPEN_TIMEOUT;
        while Instant::now() < end {
            self.send(DatagramBody::Open(Open {
                flow,
                kind,
                resume_from,
            }))
            .await;
            match timeout(REPEAT_INTERVAL * 3, inbox.receiver.recv()).await {
                Ok(Some(DatagramBody::Opened(opened))) => {
                    let received = Instant::now();
                    let session = Session {
                        token: opened.token,
                        issued: opened.issued,
                        received,
                        binding: opened.binding,
                    };
                    return Ok((inbox, session));
                }
                Ok(Some(DatagramBody::Reset(reset))) if reset.binding.is_none() => {
                    if reset.code != ResultCode::ExecutorLeaving {
                        return Err(reset.code);
                    }
                    // Another instance may take the flow.
                    tokio::time::sleep(LEAVING_PAUSE).await;
                }
                _ => {}
            }
        }
        Err(NO_REPLY)
    }

    /// Runs a non-repeatable request under a session.
    pub async fn execute(
        &self,
        session: &Session,
        id: RequestId,
        body: Bytes,
        budget: Duration,
    ) -> Outcome {
        self.execute_with(session, id, || body, budget).await
    }

    /// Runs a non-repeatable request whose body is made after its deadline is set, so that a time
    /// in the body is never before the deadline.
    pub async fn execute_with(
        &self,
        session: &Session,
        id: RequestId,
        body: impl FnOnce() -> Bytes,
        budget: Duration,
    ) -> Outcome {
        let deadline = session.issued + session.received.elapsed() + budget;
        let body = body();
        let token = Some(session.token.clone());
        let deadline = Deadline::Executor(deadline);
        self.request(new_request(id, token, false, deadline, body), budget)
            .await
    }

    /// Runs a repeatable request.
    pub async fn fetch(&self, id: RequestId, body: Bytes, budget: Duration) -> Outcome {
        let millis = u32::try_from(budget.as_millis()).unwrap_or(u32::MAX);
        let deadline = Deadline::Budget(millis);
        self.request(new_request(id, None, true, deadline, body), budget)
            .await
    }

    /// Asks to drop a request.
    pub async fn cancel(&self, session: &Session, request: RequestId) {
        let token = session.token.clone();
        self.send(DatagramBody::Cancel(Cancel { request, token }))
            .await;
    }

    /// Sends a request, again when nothing arrives, until it ends or its time is over.
    async fn request(&self, mut request: Request, budget: Duration) -> Outcome {
        let mut inbox = self.inbox(*request.request.as_bytes());
        let end = Instant::now() + budget + ANSWER_MARGIN;
        let mut assembly: Option<Assembly> = None;
        let mut last = (NO_REPLY, RunState::Unknown);
        let (mut asked, mut interval) = (Instant::now(), REPEAT_INTERVAL);
        self.send(DatagramBody::Request(request.clone())).await;
        while Instant::now() < end {
            let wake = end.min(asked + interval);
            match timeout_at(wake, inbox.receiver.recv()).await {
                Ok(Some(DatagramBody::Answer(fragment))) => {
                    if assembly.is_none() {
                        assembly = Assembly::try_new(&fragment).ok();
                    }
                    let token = fragment.token.clone();
                    let Some(known) = &mut assembly else { continue };
                    if let Some(whole) = known.insert(fragment) {
                        return Outcome::Answered(whole);
                    }
                    (request.answer, request.have) = (known.answer(), known.have());
                    adopt_executor(&mut request, token);
                }
                Ok(Some(DatagramBody::Refusal(refusal))) => match refusal.code {
                    // Another copy may still reach the executor.
                    ResultCode::ExecutorUnreachable => last = (refusal.code, refusal.state),
                    // Bound to no executor and repeatable: another instance may take it.
                    ResultCode::ExecutorLeaving if request.token.is_none() => {
                        last = (refusal.code, refusal.state);
                        tokio::time::sleep(LEAVING_PAUSE).await;
                        self.send(DatagramBody::Request(request.clone())).await;
                    }
                    code => return Outcome::Refused(code, refusal.state),
                },
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => {
                    asked = Instant::now();
                    interval = (interval * 2).min(REPEAT_LIMIT);
                    self.send(DatagramBody::Request(request.clone())).await;
                }
            }
        }
        Outcome::Refused(last.0, last.1)
    }

    async fn send(&self, body: DatagramBody) {
        if let Ok(bytes) = (Datagram {
            service: self.service,
            body,
        })
        .encode()
        {
            let _ = self.socket.send(&bytes).await;
        }
    }

    fn inbox(&self, id: [u8; 16]) -> Inbox {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.inboxes).insert(id, sender);
        Inbox {
            id,
            receiver,
            inboxes: Arc::clone(&self.inboxes),
        }
    }
}

fn new_request(
    request: RequestId,
    token: Option<Bytes>,
    repeatable: bool,
    deadline: Deadline,
    body: Bytes,
) -> Request {
    let have = FragmentMap::default();
    Request {
        request,
        token,
        repeatable,
        deadline,
        answer: 0,
        have,
        body,
    }
}

/// Keeps asking the executor that answered, which holds the missing fragments.
fn adopt_executor(request: &mut Request, token: Bytes) {
    if request.token.is_none() {
        request.token = Some(token);
        // The answer exists, so only the request's id matters; any valid deadline will do.
        request.deadline = Deadline::Executor(Millis::new(1));
    }
}

struct Inbox {
    id: [u8; 16],
    receiver: mpsc::UnboundedReceiver<DatagramBody>,
    inboxes: Inboxes,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        lock(&self.inboxes).remove(&self.id);
    }
}

fn lock(
    inboxes: &Inboxes,
) -> MutexGuard<'_, FastMap<[u8; 16], mpsc::UnboundedSender<DatagramBody>>> {
    inboxes.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn receive(socket: Arc<UdpSocket>, inboxes: Inboxes) {
    let mut buf = vec![0; 2_048];
    // The caller's own handle keeps the socket; the task ends with it.
    while Arc::strong_count(&socket) > 1 {
        let received = timeout(Duration::from_secs(1), socket.recv(&mut buf)).await;
        let Ok(Ok(size)) = received else { continue };
        let Ok(Datagram { body, .. }) = Datagram::decode(&buf[..size]) else {
            continue;
        };
        let id = match &body {
            DatagramBody::Opened(m) => *m.flow.as_bytes(),
            DatagramBody::KeepaliveAck(m) => *m.flow.as_bytes(),
            DatagramBody::Update(m) => *m.flow.as_bytes(),
            DatagramBody::Reset(m) => *m.flow.as_bytes(),
            DatagramBody::Answer(m) => *m.request.as_bytes(),
            DatagramBody::Refusal(m) => *m.request.as_bytes(),
            _ => continue,
        };
        if let Some(inbox) = lock(&inboxes).get(&id) {
            let _ = inbox.send(body);
        }
    }
}
