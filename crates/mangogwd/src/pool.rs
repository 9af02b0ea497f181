//! Connections to targets: kept by target, and dropped when they go silent.

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
use tokio::time::{Instant, timeout};

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long written bytes may stay without an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an answer is awaited past its deadline, so that the host decides what a passed deadline means.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Bytes of the longest answer to a word.
const MAX_COMMAND_REPLY_BYTES: u64 = 4096;
/// Idle connections kept for one target.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Every connection to every target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<IndexMap<SocketAddr, Vec<Connection>>>,
}

/// One connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    last_used: Instant,
}

/// What is said about an attempt besides its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptCommand {
    /// Stop it.
    Stop,
    /// Slow it down.
    Throttle,
    /// Write its state down and set it aside.
    Checkpoint,
    /// Go on with it.
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

/// Why one exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No byte was written.
    Unsent,
    /// Bytes may have been written.
    MaybeSent,
}

impl Pool {
    /// Sends a task to its target and waits for the whole answer; `left` is the time to its deadline.
    pub async fn start(&self, start: &TaskStart, left: Duration) -> AttemptOutcome {
        let sent = timeout(left + DEADLINE_GRACE, self.exchange(start, left)).await;
        match sent {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.drop_idle(start.address);
                AttemptOutcome::Report(AttemptReport::Lost)
            }
        }
    }

    /// Says a word about an attempt to the target that runs it. Gives back what the target made of it, for words
    /// whose effect counts; a word that was lost counts as declined.
    pub async fn send_command(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        command: AttemptCommand,
    ) -> Option<AttemptReport> {
        let path = format!("/v1/tasks/{attempt}/{}", command.path());
        let request = Request::post(path).header(http::header::HOST, address.to_string()).body(Full::default()).ok()?;
        let taken = match timeout(ACK_TIMEOUT, self.send(address, request)).await {
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
            AttemptCommand::Throttle if taken => Some(AttemptReport::Throttled),
            AttemptCommand::Checkpoint if taken => Some(AttemptReport::Checkpointed),
            AttemptCommand::Throttle | AttemptCommand::Checkpoint => Some(AttemptReport::Declined),
            AttemptCommand::Stop | AttemptCommand::Resume => None,
        }
    }

    /// Sends a request and reads the whole answer, of at most `limit` bytes, within a time.
    ///
    /// # Errors
    /// [`CallError`], which says whether a byte may have reached the target.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        within: Duration,
        limit: u64,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (response, connection) = self.send(address, request).await?;
            let (head, body) = response.into_parts();
            let body = collect(body, limit).await.map_err(|_report| CallError::MaybeSent)?;
            self.put_back(address, connection);
            Ok(Response::from_parts(head, body))
        };
        match timeout(within, exchange).await {
            Ok(answer) => answer,
            Err(_elapsed) => {
                self.drop_idle(address);
                Err(CallError::MaybeSent)
            }
        }
    }

    async fn exchange(&self, start: &TaskStart, left: Duration) -> AttemptOutcome {
        let Ok(request) = request(start, left) else { return AttemptOutcome::Report(AttemptReport::NotStarted) };
        match self.send(start.address, request).await {
            Err(CallError::Unsent) => AttemptOutcome::Report(AttemptReport::NotStarted),
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
        let unstarted = response.headers().get(header::NOT_STARTED).is_some_and(|value| value == "true");
        let status = response.status();
        let content_type = response.headers().get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = match collect(response.into_body(), start.max_answer).await {
            Ok(body) => body,
            Err(report) => return AttemptOutcome::Report(report),
        };
        self.put_back(start.address, connection);
        if unstarted {
            return AttemptOutcome::Report(AttemptReport::NotStarted);
        }
        AttemptOutcome::Answer(Answer { status: status.as_u16(), content_type, body })
    }

    /// Sends on an idle connection, or on a new one where an idle one turned out closed.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        loop {
            let (mut connection, fresh) = match self.take_idle(address) {
                Some(connection) => (connection, false),
                None => (connect(address).await.ok_or(CallError::Unsent)?, true),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(CallError::Unsent),
                    None => return Err(CallError::MaybeSent),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|connection| !connection.sender.is_closed() && now - connection.last_used < IDLE_TIMEOUT);
        let ready = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.swap_remove(ready))
    }

    fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connection.last_used = Instant::now();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Drops the idle connections of a target after one of them went silent: what lost track of one may have lost
    /// track of all, and new ones work.
    fn drop_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.swap_remove(&address);
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
            log::debug!(address:%, error:%; "pool: connection ended");
        }
    });
    Some(Connection { sender, last_used: Instant::now() })
}

/// Reads a whole body of at most `limit` bytes.
async fn collect(mut body: Incoming, limit: u64) -> Result<Bytes, AttemptReport> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| AttemptReport::Truncated)?;
        let Ok(data) = frame.into_data() else { continue };
        if (whole.len() + data.len()) as u64 > limit {
            return Err(AttemptReport::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
