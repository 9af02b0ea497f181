//! Simulated target: announces itself, runs tasks by sleeping, and fails in a selected way.

use crate::client::Client;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use indexmap::IndexMap;
use mangogw_model::{Capacity, EntryName, Incarnation, Kind, Rack, TargetName, Zone};
use mangogw_wire::{AnnounceBody, LeaseBody, header};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// Interval between heartbeats until a host sets another one.
const INITIAL_HEARTBEAT: Duration = Duration::from_millis(500);
/// Time after which an unanswered announcement is given up.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the announcement is sent to the next host.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(50);
/// Number of requests that a connection answers under [`Fault::Silent`] before it stops answering.
const REQUESTS_BEFORE_SILENCE: u32 = 20;

/// Delay before each half of an answer under [`Fault::Cut`].
const CUT_DELAY: Duration = Duration::from_millis(10);

/// Payload of a task for a simulated target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// Run time on a target of speed 1, in milliseconds.
    pub millis: f64,
    /// Free text that distinguishes one request from another.
    pub note: String,
    /// If set in a request, the answer contains the measured run time in this field, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran: Option<f64>,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self { millis: 50.0, note: String::new(), ran: None }
    }
}

impl TaskPayload {
    /// Creates a payload with a run time of `millis` milliseconds and a note.
    pub fn new(millis: f64, note: &str) -> Self {
        Self { millis, note: note.to_owned(), ran: None }
    }

    /// Parses a payload from JSON; returns the default if the bytes are not a valid payload.
    pub fn parse(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }

    /// Returns the payload as JSON.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Way in which a simulated target fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Works without failures.
    #[default]
    None,
    /// Accepts tasks and never answers.
    Stall,
    /// Answers every task at once with status 500, while its heartbeats continue.
    Fail,
    /// Breaks the connection in the middle of each answer.
    Cut,
    /// Answers after the deadline.
    Late,
    /// Answers with the identifier of another attempt.
    Cross,
    /// Stops answering on a connection after some requests; new connections work.
    Silent,
    /// Answers that it did not start the task.
    Refuse,
}

/// Settings of a simulated target.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Name that the target announces.
    pub name: TargetName,
    /// Zone that the target announces.
    pub zone: Zone,
    /// Rack that the target announces.
    pub rack: Rack,
    /// Kind that the target announces.
    pub kind: Kind,
    /// Entries that the target serves.
    pub entries: Vec<EntryName>,
    /// Capacity that the target announces.
    pub capacity: Capacity,
    /// Factor by which tasks run faster than on a target of speed 1.
    pub speed: f64,
    /// Way in which the target fails at first.
    pub fault: Fault,
    /// Hosts to which the target announces itself; it changes to the next one when a host does not answer.
    pub hosts: Vec<SocketAddr>,
}

/// Counts of a simulated target.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    /// Number of starts by submission and task.
    pub starts: IndexMap<(String, u32), u32>,
    /// Number of tasks that are running.
    pub running: u32,
    /// Maximum number of tasks that have run at once.
    pub peak: u32,
}

#[derive(Debug)]
struct Inner {
    settings: TargetSettings,
    fault: Mutex<Fault>,
    stats: Mutex<TargetStats>,
}

/// Running simulated target.
#[derive(Debug)]
pub struct Target {
    inner: Arc<Inner>,
    address: SocketAddr,
    tasks: JoinSet<()>,
    client: Client,
}

type Body = BoxBody<Bytes, io::Error>;

impl Target {
    /// Binds `address`, announces the target to its hosts and serves tasks until the value is dropped.
    ///
    /// # Errors
    /// The error of the operating system if `address` cannot be bound.
    pub async fn bind(address: SocketAddr, settings: TargetSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let fault = Mutex::new(settings.fault);
        let inner = Arc::new(Inner { settings, fault, stats: Mutex::default() });
        let client = Client::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&inner)));
        tasks.spawn(announce(Arc::clone(&inner), address, client.clone()));
        Ok(Self { inner, address, tasks, client })
    }

    /// Returns the address on which the target listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts so far.
    pub fn stats(&self) -> TargetStats {
        self.inner.stats.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the way in which the target fails from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.inner.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Reports to the first host that the target leaves.
    ///
    /// # Errors
    /// [`crate::client::BadCall`] if the host did not answer.
    pub async fn leave(&self) -> Result<(), crate::client::BadCall> {
        let TargetSettings { name, zone, hosts, .. } = &self.inner.settings;
        let incarnation = incarnation_at(self.address);
        let path = format!("/v1/targets/{name}/leave?zone={zone}&incarnation={incarnation}");
        if let Some(&host) = hosts.first() {
            self.client.call(host, Method::POST, &path, &[], Bytes::new()).await?;
        }
        Ok(())
    }

    /// Ends at once and closes all connections.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}

async fn announce(inner: Arc<Inner>, address: SocketAddr, client: Client) {
    let settings = &inner.settings;
    let path = format!("/v1/targets/{}", settings.name);
    let mut body = announcement(settings, address);
    let mut grant_received = Instant::now();
    let mut host_index = 0;
    while let Some(&host) = settings.hosts.get(host_index % settings.hosts.len().max(1)) {
        let mut delay = INITIAL_HEARTBEAT;
        body.grant_age_ms = body.grant.as_ref().map(|_| grant_received.elapsed().as_millis() as u32);
        let sent = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let call = client.call(host, Method::PUT, &path, &[], sent);
        match timeout(ANNOUNCE_TIMEOUT, call).await {
            Ok(Ok(response)) => match serde_json::from_slice::<LeaseBody>(&response.body) {
                Ok(lease) => {
                    delay = Duration::from_millis(lease.heartbeat_ms);
                    if lease.grant.is_some() {
                        body.grant = lease.grant;
                        grant_received = Instant::now();
                    }
                }
                Err(_) => log::warn!(code = response.code(); "target: announcement refused"),
            },
            Ok(Err(error)) => {
                log::debug!(error:%; "target: announcement lost");
                host_index += 1;
                delay = NEXT_HOST_DELAY;
            }
            Err(_) => host_index += 1,
        }
        tokio::time::sleep(delay).await;
    }
}

/// Returns the incarnation of a stand-in, which has an address of its own.
fn incarnation_at(address: SocketAddr) -> Incarnation {
    Incarnation(u64::from(address.port()))
}

fn announcement(settings: &TargetSettings, address: SocketAddr) -> AnnounceBody {
    AnnounceBody {
        address,
        zone: settings.zone.clone(),
        rack: settings.rack.clone(),
        kind: settings.kind,
        entries: settings.entries.clone(),
        capacity: settings.capacity,
        incarnation: incarnation_at(address),
        running: Vec::new(),
        connections: 0,
        grant: None,
        grant_age_ms: None,
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    let mut open = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        open.spawn(serve(stream, Arc::clone(&inner)));
        while open.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, inner: Arc<Inner>) {
    drop(stream.set_nodelay(true));
    let requests = Arc::new(AtomicU32::new(0));
    let service = service_fn(move |request| {
        let (inner, requests) = (Arc::clone(&inner), Arc::clone(&requests));
        async move { Ok::<_, Infallible>(handle(request, &inner, &requests).await) }
    });
    let served = auto::Builder::new(TokioExecutor::new()).serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!(error:%; "target: connection ended");
    }
}

async fn handle(request: Request<Incoming>, inner: &Inner, requests: &AtomicU32) -> Response<Body> {
    let attempt = header_text(&request, header::ATTEMPT);
    let submission = header_text(&request, header::SUBMISSION);
    let task = header_text(&request, header::TASK).parse().unwrap_or(0);
    let deadline_ms: u64 = header_text(&request, header::DEADLINE).parse().unwrap_or(0);
    let fault = *inner.fault.lock().unwrap_or_else(PoisonError::into_inner);
    let is_command = request.uri().path().trim_matches('/').split('/').nth(3).is_some();
    let Ok(body) = request.into_body().collect().await.map(http_body_util::Collected::to_bytes) else {
        return response_with_status(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if is_command {
        return response_with_status(StatusCode::OK, Bytes::new());
    }
    let running = RunningGuard::open(inner, submission, task);
    let silenced = fault == Fault::Silent && requests.fetch_add(1, Ordering::Relaxed) >= REQUESTS_BEFORE_SILENCE;
    match fault {
        Fault::Stall => return std::future::pending().await,
        Fault::Silent if silenced => return std::future::pending().await,
        Fault::Fail => return response_with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        Fault::Refuse => return response_with_header(header::NOT_STARTED, "true", Bytes::new()),
        _ => {}
    }
    let payload = TaskPayload::parse(&body);
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs_f64(payload.millis / 1_000.0 / inner.settings.speed)).await;
    drop(running);
    let body = match payload.ran {
        Some(_) => TaskPayload { ran: Some(started.elapsed().as_secs_f64() * 1e3), ..payload }.to_bytes(),
        None => body,
    };
    match fault {
        Fault::Cut => truncated_response(&body),
        Fault::Cross => response_with_header(header::ATTEMPT, "1-1-1", body),
        Fault::Late => {
            tokio::time::sleep(Duration::from_millis(deadline_ms + deadline_ms / 4)).await;
            response_with_header(header::ATTEMPT, &attempt, body)
        }
        _ => response_with_header(header::ATTEMPT, &attempt, body),
    }
}

/// Counts a task as running until the guard is dropped.
#[derive(Debug)]
struct RunningGuard<'a>(&'a Inner);

impl<'a> RunningGuard<'a> {
    fn open(inner: &'a Inner, submission: String, task: u32) -> Self {
        let mut stats = inner.stats.lock().unwrap_or_else(PoisonError::into_inner);
        *stats.starts.entry((submission, task)).or_default() += 1;
        stats.running += 1;
        stats.peak = stats.peak.max(stats.running);
        Self(inner)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.stats.lock().unwrap_or_else(PoisonError::into_inner).running -= 1;
    }
}

fn header_text(request: &Request<Incoming>, name: &str) -> String {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
}

fn full_body(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed()
}

fn response_with_status(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

fn response_with_header(name: &'static str, value: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
    response
}

/// Returns an answer that breaks off after half of its body.
fn truncated_response(body: &Bytes) -> Response<Body> {
    let half = body.slice(..body.len() / 2);
    let frames = stream::iter([Ok(Frame::data(half)), Err(io::Error::other("cut"))]);
    // Sends the first half before the connection breaks.
    let delayed = frames.then(|frame| async {
        tokio::time::sleep(CUT_DELAY).await;
        frame
    });
    Response::new(BodyExt::boxed(StreamBody::new(delayed)))
}
