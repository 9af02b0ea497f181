//! Pool of HTTP connections to targets: keeps idle connections per target, and drops them when the target stops
//! answering.

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use mangogw_dispatch::AttemptReport;
use mangogw_host::{Answer, AttemptOutcome, TaskStart};
use mangogw_model::AttemptId;
use mangogw_wire::header;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection is closed if written bytes are not acknowledged, and after which a command without a
/// reply counts as lost.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a response is awaited past its deadline, so that the host itself decides what a passed deadline means.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Size of the longest reply to a command that is read.
const MAX_COMMAND_REPLY_BYTES: u64 = 4096;
/// Connections in a row that a target closes right after it has identified itself, from which on it counts as one that
/// ends each connection with its answer. A target that ends by itself closes one.
const MAX_CLOSED_CONNECTIONS: u32 = 2;
/// Most idle connections that are kept for one target.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Idle connections to all targets.
#[derive(Debug, Default)]
pub struct Pool {
    targets: Mutex<IndexMap<SocketAddr, Connections>>,
}

/// Connections to one target.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    /// Peer that has closed connections right after it had identified itself, and how many in a row.
    closed: Option<(Peer, u32)>,
}

impl Connections {
    /// Returns the peer, if it ends each connection with its answer, without announcing that.
    fn closing_peer(&self) -> Option<Peer> {
        self.closed.filter(|(_, count)| *count >= MAX_CLOSED_CONNECTIONS).map(|(peer, _)| peer)
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    last_used: Instant,
    peer: Peer,
    /// Number of responses that have arrived on the connection.
    responses: u32,
}

/// What the peer of a connection has said of its incarnation. A connection leads to one life of a process, so this holds
/// for as long as the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// The peer has said nothing that can be read.
    Unknown,
    /// The peer has answered without an incarnation: it names none at all.
    Unnamed,
    /// The peer has named its incarnation.
    Named(u64),
}

impl Peer {
    /// Returns true if the peer is another incarnation than `wanted`.
    ///
    /// ```
    /// use mangogwd::pool::Peer;
    /// assert!(Peer::Named(8).differs_from(7));
    /// assert!(!Peer::Named(7).differs_from(7) && !Peer::Unnamed.differs_from(7));
    /// ```
    pub fn differs_from(self, wanted: u64) -> bool {
        matches!(self, Self::Named(named) if named != wanted)
    }
}

/// Call that is meant for one incarnation of a target.
pub trait Call {
    /// Decoded response.
    type Answer;

    /// Returns the incarnation that the call is meant for.
    fn incarnation(&self) -> u64;

    /// Returns true if the call must not reach another incarnation.
    fn needs_identification(&self) -> bool;

    /// Returns a request that has the peer name its incarnation, and that does no harm to another one; `None` if it can't
    /// be encoded.
    fn identification(&self) -> Option<Request<Full<Bytes>>>;

    /// Decodes the response to the call or to its identifying request, and what it says of the peer.
    fn decode(&self, response: &Response<Bytes>) -> (Peer, Self::Answer);
}

/// Response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply<A> {
    /// Response to the call itself.
    Answered(A),
    /// Response to the identifying request, which doesn't name the incarnation that the call is meant for; no byte of the
    /// call was written.
    Mismatched(A),
}

/// Result of a request on one connection.
enum Exchange {
    Answered(Response<Bytes>),
    /// No byte of the request was written.
    Unsent(Request<Full<Bytes>>),
    /// Bytes of the request may have been written.
    Lost,
}

/// Connection for a call.
enum Route<A> {
    /// The connection leads to the incarnation that the call is meant for, or need not.
    Open(Connection, Stage),
    /// The peer gave this answer to the identifying request, which doesn't name the incarnation that the call is meant for.
    Mismatched(A),
}

/// State of a connection before a call, which tells why it may turn out to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The connection is new.
    New,
    /// The peer has answered the identifying request: it may end its connections with each answer, or have ended itself.
    Identified,
    /// The connection was idle.
    Idle,
}

/// Command about an attempt that a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptCommand {
    /// Stop the attempt.
    Stop,
    /// Slow the attempt down.
    Throttle,
    /// Save a checkpoint of the attempt and suspend it.
    Checkpoint,
    /// Resume the attempt.
    Resume,
}

impl AttemptCommand {
    const fn path(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Throttle => "throttle",
            Self::Checkpoint => "checkpoint",
            Self::Resume => "resume",
        }
    }
}

/// Reason why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No byte was written to the target.
    Unsent,
    /// The target didn't identify itself in time, or ended the connection once it had; no byte of the call was written.
    Unidentified,
    /// Bytes may have been written to the target.
    MaybeSent,
}

impl Pool {
    /// Sends a task to its target and waits for the whole response; `left` is the time to the task's deadline.
    ///
    /// Returns a lost attempt if there is no response 100 ms after the deadline.
    pub async fn start(&self, start: &TaskStart, left: Duration) -> AttemptOutcome {
        let answer = timeout(left + DEADLINE_GRACE, self.exchange(start, left)).await;
        match answer {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.drop_idle(start.address);
                AttemptOutcome::Report(AttemptReport::Lost)
            }
        }
    }

    /// Sends a command about an attempt to the target that runs it.
    ///
    /// Returns whether the target complied, for [`Throttle`](AttemptCommand::Throttle) and
    /// [`Checkpoint`](AttemptCommand::Checkpoint); a lost command counts as declined. Returns `None` for the others.
    pub async fn send_command(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        command: AttemptCommand,
    ) -> Option<AttemptReport> {
        let path = format!("/v1/tasks/{attempt}/{}", command.path());
        let request = Request::post(path).header(http::header::HOST, address.to_string()).body(Full::default()).ok()?;
        let complied = match timeout(ACK_TIMEOUT, self.send(address, request)).await {
            Ok(Ok((response, connection))) => {
                let success = response.status().is_success();
                let body = timeout(ACK_TIMEOUT, collect(response.into_body(), MAX_COMMAND_REPLY_BYTES)).await;
                if matches!(body, Ok(Ok(_))) {
                    self.put_back(address, connection);
                }
                success
            }
            _ => false,
        };
        match command {
            AttemptCommand::Throttle if complied => Some(AttemptReport::Throttled),
            AttemptCommand::Checkpoint if complied => Some(AttemptReport::Checkpointed),
            AttemptCommand::Throttle | AttemptCommand::Checkpoint => Some(AttemptReport::Declined),
            AttemptCommand::Stop | AttemptCommand::Resume => None,
        }
    }

    /// Sends the request of a call and reads the whole response, of at most `max_bytes` in its body. `time_limit` bounds
    /// the time until it is written, and again that until the response is there.
    ///
    /// A call that needs it is written only to a connection whose peer has identified itself as the incarnation that the
    /// call is meant for, or as one that names none. A new connection carries the identifying request first. If it turns
    /// out to be closed before the call is written, the next one does so again.
    ///
    /// # Errors
    /// [`CallError`], which tells whether a byte of the call may have reached the target.
    pub async fn call<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        mut request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: u64,
    ) -> Result<Reply<C::Answer>, CallError> {
        let deadline = Instant::now() + time_limit;
        loop {
            let route = match timeout_at(deadline, self.route(address, call, max_bytes)).await {
                Ok(route) => route?,
                Err(_elapsed) => {
                    self.drop_idle(address);
                    return Err(CallError::Unidentified);
                }
            };
            let (mut connection, stage) = match route {
                Route::Open(connection, stage) => (connection, stage),
                Route::Mismatched(answer) => return Ok(Reply::Mismatched(answer)),
            };
            let exchange = timeout(time_limit, connection.exchange(request, max_bytes)).await;
            if stage == Stage::Identified && matches!(exchange, Ok(Exchange::Unsent(_) | Exchange::Lost)) {
                self.note_closed(address, connection.peer);
            }
            match exchange {
                Ok(Exchange::Answered(response)) => {
                    let answer = connection.decode(call, &response);
                    self.put_back(address, connection);
                    return Ok(Reply::Answered(answer));
                }
                Ok(Exchange::Unsent(unsent)) if stage != Stage::New => request = unsent,
                Ok(Exchange::Unsent(_)) if call.needs_identification() => return Err(CallError::Unidentified),
                Ok(Exchange::Unsent(_)) => return Err(CallError::Unsent),
                Ok(Exchange::Lost) => return Err(CallError::MaybeSent),
                Err(_elapsed) => {
                    self.drop_idle(address);
                    return Err(CallError::MaybeSent);
                }
            }
        }
    }

    /// Returns an idle or a new connection for a call, with its peer identified if the call needs it.
    async fn route<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        max_bytes: u64,
    ) -> Result<Route<C::Answer>, CallError> {
        loop {
            let (mut connection, stage) = match self.take_idle(address, Some(call.incarnation())) {
                Some(connection) => (connection, Stage::Idle),
                None => (connect(address).await.ok_or(CallError::Unsent)?, Stage::New),
            };
            if connection.peer != Peer::Unknown || !call.needs_identification() {
                return Ok(Route::Open(connection, stage));
            }
            let request = call.identification().ok_or(CallError::Unidentified)?;
            match connection.exchange(request, max_bytes).await {
                Exchange::Answered(response) => {
                    let answer = connection.decode(call, &response);
                    let peer = connection.peer;
                    if peer == Peer::Unknown || peer.differs_from(call.incarnation()) {
                        self.put_back(address, connection);
                        return Ok(Route::Mismatched(answer));
                    }
                    if closes_connection(&response) || self.closes_connections(address, peer) {
                        // Such a target can only be called on another connection than the one that identified it.
                        let connection = connect(address).await.ok_or(CallError::Unidentified)?;
                        return Ok(Route::Open(Connection { peer, ..connection }, Stage::New));
                    }
                    return Ok(Route::Open(connection, Stage::Identified));
                }
                Exchange::Unsent(_) if stage == Stage::New => return Err(CallError::Unsent),
                Exchange::Unsent(_) => {}
                Exchange::Lost => return Err(CallError::Unidentified),
            }
        }
    }

    async fn exchange(&self, start: &TaskStart, left: Duration) -> AttemptOutcome {
        let Ok(request) = request(start, left) else { return AttemptOutcome::Report(AttemptReport::NotStarted) };
        match self.send(start.address, request).await {
            Err(CallError::Unsent | CallError::Unidentified) => AttemptOutcome::Report(AttemptReport::NotStarted),
            Err(CallError::MaybeSent) => AttemptOutcome::Report(AttemptReport::Lost),
            Ok((response, connection)) => self.receive(start, response, connection).await,
        }
    }

    async fn receive(&self, start: &TaskStart, response: Response<Incoming>, connection: Connection) -> AttemptOutcome {
        let echo = response.headers().get(header::ATTEMPT).and_then(|value| value.to_str().ok());
        match echo.map(str::parse::<AttemptId>) {
            Some(Ok(echo)) if echo == start.attempt => {}
            Some(_) => return AttemptOutcome::Report(AttemptReport::Lost),
            None => {}
        }
        let not_started = response.headers().get(header::NOT_STARTED).is_some_and(|value| value == "true");
        let status = response.status();
        let content_type = response.headers().get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = match collect(response.into_body(), start.max_answer).await {
            Ok(body) => body,
            Err(report) => return AttemptOutcome::Report(report),
        };
        self.put_back(start.address, connection);
        if not_started {
            return AttemptOutcome::Report(AttemptReport::NotStarted);
        }
        AttemptOutcome::Answer(Answer { status: status.as_u16(), content_type, body })
    }

    /// Sends a request on an idle connection, or on a new one if there is none or the idle ones turn out to be closed.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        loop {
            let (mut connection, is_new) = match self.take_idle(address, None) {
                Some(connection) => (connection, false),
                None => (connect(address).await.ok_or(CallError::Unsent)?, true),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(CallError::Unsent),
                    None => return Err(CallError::MaybeSent),
                },
            }
        }
    }

    /// Takes an idle connection, and closes those to other incarnations than the wanted one. One of a target that closes
    /// its connections is only taken if it has stayed open for a while.
    fn take_idle(&self, address: SocketAddr, wanted: Option<u64>) -> Option<Connection> {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = targets.get_mut(&address)?;
        let min_idle = if connections.closing_peer().is_some() { ACK_TIMEOUT } else { Duration::ZERO };
        let idle = &mut connections.idle;
        let now = Instant::now();
        idle.retain(|connection| {
            !connection.sender.is_closed()
                && now - connection.last_used < IDLE_TIMEOUT
                && !wanted.is_some_and(|wanted| connection.peer.differs_from(wanted))
        });
        let is_usable =
            |connection: &Connection| connection.sender.is_ready() && now - connection.last_used >= min_idle;
        let usable = idle.iter().rposition(is_usable)?;
        Some(idle.swap_remove(usable))
    }

    fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = targets.entry(address).or_default();
        connection.last_used = Instant::now();
        if connection.responses > 1 {
            connections.closed = None;
        }
        if connections.idle.len() < MAX_IDLE_CONNECTIONS {
            connections.idle.push(connection);
        }
    }

    /// Notes that a peer has closed a connection right after it had identified itself.
    fn note_closed(&self, address: SocketAddr, peer: Peer) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let closed = &mut targets.entry(address).or_default().closed;
        let count = closed.filter(|(known, _)| *known == peer).map_or(0, |(_, count)| count);
        *closed = Some((peer, count + 1));
        if count + 1 == MAX_CLOSED_CONNECTIONS {
            log::info!(address:%, peer:?; "pool: target closes its connections; each order takes two");
        }
    }

    /// Returns true if the peer ends each connection with its answer, without announcing that.
    fn closes_connections(&self, address: SocketAddr, peer: Peer) -> bool {
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.get(&address).is_some_and(|connections| connections.closing_peer() == Some(peer))
    }

    /// Drops what is known of the connections of a target after one of them timed out. Whatever lost the state of one
    /// connection may have lost that of all, while new connections work.
    fn drop_idle(&self, address: SocketAddr) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.swap_remove(&address);
    }
}

impl Connection {
    /// Sends a request and reads the whole response, of at most `max_bytes` in its body.
    async fn exchange(&mut self, request: Request<Full<Bytes>>, max_bytes: u64) -> Exchange {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.responses = self.responses.saturating_add(1);
                let (head, body) = response.into_parts();
                let body = collect(body, max_bytes).await;
                body.map_or(Exchange::Lost, |body| Exchange::Answered(Response::from_parts(head, body)))
            }
            Err(mut error) => error.take_message().map_or(Exchange::Lost, Exchange::Unsent),
        }
    }

    /// Decodes a response and notes what it says of the peer.
    fn decode<C: Call>(&mut self, call: &C, response: &Response<Bytes>) -> C::Answer {
        let (peer, answer) = call.decode(response);
        self.peer = match (self.peer, peer) {
            (known, Peer::Unknown) | (known @ Peer::Named(_), Peer::Unnamed) => known,
            (_, peer) => peer,
        };
        answer
    }
}

fn request(start: &TaskStart, left: Duration) -> http::Result<Request<Full<Bytes>>> {
    Request::post(format!("/v1/tasks/{}", start.attempt))
        .header(http::header::HOST, start.address.to_string())
        .header(header::ATTEMPT, start.attempt.to_string())
        .header(header::ENTRY, start.entry.as_str())
        .header(header::SUBMISSION, start.key.as_str())
        .header(header::TASK, start.index.0)
        .header(header::DEADLINE, left.as_millis() as u64)
        .header(header::LEASE, left.as_millis() as u64)
        .body(Full::new(start.body.clone()))
}

/// Returns true if the peer ends the connection with this response.
fn closes_connection(response: &Response<Bytes>) -> bool {
    let options = response.headers().get_all(http::header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    options.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)).ok()?;
    let probes = TcpKeepalive::new().with_time(ACK_TIMEOUT).with_interval(ACK_TIMEOUT);
    socket.set_tcp_keepalive(&probes).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:%, error:%; "pool: connection to a target ended with an error");
        }
    });
    Some(Connection { sender, last_used: Instant::now(), peer: Peer::Unknown, responses: 0 })
}

/// Reads a whole body; [`AttemptReport::TooLarge`] if it is longer than `max_bytes`, [`AttemptReport::Truncated`] if
/// it ends early.
async fn collect(mut body: Incoming, max_bytes: u64) -> Result<Bytes, AttemptReport> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| AttemptReport::Truncated)?;
        let Ok(data) = frame.into_data() else { continue };
        if (whole.len() + data.len()) as u64 > max_bytes {
            return Err(AttemptReport::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
