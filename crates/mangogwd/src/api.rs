//! HTTP interface: turns requests into [`HostRequest`]s and [`Reply`]s into responses. `docs/API.md` is its reference.

use crate::gate::{BadBody, Charge, Ticket, Work};
use crate::meters;
use crate::node::Node;
use crate::operate;
use crate::settings::Network;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use mangogw_cluster::grants::{Echo, Target};
use mangogw_host::{Host, HostRequest, JobRequest, Refused, Reply, TaskRequest};
use mangogw_model::{Announcement, Code, Incarnation, JobState, JobView, Key, Outcome, TargetName, Usage, Zone};
use mangogw_wire::{AnnounceBody, JobBody, LeaseBody, Problem, header};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Size of the largest request body that is accepted, for any route.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Length of the longest submission key.
const MAX_KEY_BYTES: usize = 200;
/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// State shared by the request handlers.
#[derive(Debug, Clone)]
pub struct Api {
    /// Node that runs the host.
    pub node: Arc<Node>,
    /// Longest time in which a sender must send a whole request body.
    pub send_timeout: Duration,
    /// Networks in which targets may announce addresses.
    pub networks: Arc<[Network]>,
    /// Availability zone of the host; the zone of a target whose request names none.
    pub zone: Zone,
}

type Handled = Result<Response<Full<Bytes>>, Refused>;

impl Api {
    /// Handles one request on the connection of `ticket`; a refusal is a response too.
    pub async fn handle<B>(&self, ticket: &Arc<Ticket>, request: Request<B>) -> Response<Full<Bytes>>
    where
        B: http_body::Body<Data = Bytes, Error: Display> + Send,
    {
        self.route(ticket, request).await.unwrap_or_else(|refused| refusal(&refused))
    }

    async fn route<B>(&self, ticket: &Arc<Ticket>, request: Request<B>) -> Handled
    where
        B: http_body::Body<Data = Bytes, Error: Display> + Send,
    {
        let (head, body) = request.into_parts();
        let parts: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
        let query = head.uri.query().unwrap_or("");
        let work = body.is_end_stream().then(|| ticket.work());
        let mut request = Held { ticket, full: overload(&head.headers, &head.uri), room: None, work };
        match (&head.method, parts.as_slice()) {
            (&Method::POST, ["v1", "run", entry]) => {
                let host_request = HostRequest::Run {
                    entry: (*entry).into(),
                    key: parse_key(&head.headers)?,
                    timeout: parse_deadline(&head.headers)?,
                    body: self.read(&mut request, body).await?,
                };
                Ok(respond(self.node.request(host_request).await))
            }
            (&Method::POST, ["v1", "jobs"]) => {
                let job = parse_job(&head.headers, &self.read(&mut request, body).await?)?;
                Ok(respond(self.node.request(HostRequest::Submit(job)).await))
            }
            (&Method::GET, ["v1", "jobs", key]) => {
                let host_request = HostRequest::Read { key: Key::from(*key), wait: parse_wait(query)? };
                Ok(respond(self.node.request(host_request).await))
            }
            (&Method::DELETE, ["v1", "jobs", key]) => {
                Ok(respond(self.node.request(HostRequest::Cancel { key: Key::from(*key) }).await))
            }
            (&Method::PUT, ["v1", "targets", name]) => {
                let (announcement, echo) = self.announcement(name, &self.read(&mut request, body).await?)?;
                Ok(respond(self.node.request(HostRequest::Announce { announcement, echo }).await))
            }
            (&Method::POST, ["v1", "targets", name, "leave"]) => {
                self.read(&mut request, body).await?;
                let (target, incarnation) = (self.target(name, query), parse_incarnation(query)?);
                Ok(respond(self.node.request(HostRequest::Leave { target, incarnation }).await))
            }
            (&Method::POST, ["v1", "targets", name, "usage"]) => {
                let usage: Usage = parse_json(&self.read(&mut request, body).await?)?;
                Ok(respond(self.node.request(HostRequest::Usage { target: self.target(name, query), usage }).await))
            }
            (&Method::GET, ["v1", "hosts"]) => {
                Ok(as_json(StatusCode::OK, &self.node.with_host(|host, _| host.host_views())))
            }
            (&Method::GET, ["v1", "targets" | "leases"]) => {
                Ok(as_json(StatusCode::OK, &self.node.with_host(Host::target_views)))
            }
            (&Method::GET, ["v1", "status"]) => Ok(as_json(StatusCode::OK, &self.node.with_host(Host::status_view))),
            (&Method::GET, ["metrics"]) => Ok(text_response(StatusCode::OK, meters::render(&self.node))),
            (&Method::GET, ["healthz"]) => Ok(static_text(StatusCode::OK, "alive\n")),
            (&Method::GET, ["readyz"]) if self.node.is_ready() => Ok(static_text(StatusCode::OK, "ready\n")),
            (&Method::GET, ["readyz"]) => Ok(static_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
            (_, ["v1", root, ..]) if operate::ROOTS.contains(root) => {
                let body = self.read(&mut request, body).await?;
                operate::handle(&self.node, &head, &body).await
            }
            (method, _) => Err(Refused::new(Code::NoRoute, format!("{method} {}", head.uri.path()))),
        }
    }

    /// Reads a body. Room for it is taken until `held` is dropped.
    async fn read<B>(&self, held: &mut Held<'_>, body: B) -> Result<Bytes, Refused>
    where
        B: http_body::Body<Data = Bytes, Error: Display> + Send,
    {
        match timeout(self.send_timeout, held.ticket.read(body, MAX_BODY_BYTES)).await {
            Ok(Ok((body, room))) => {
                (held.room, held.work) = (Some(room), Some(held.ticket.work()));
                Ok(body)
            }
            Ok(Err(error @ BadBody::TooLarge { .. })) => Err(Refused::new(Code::BodyTooLarge, error.to_string())),
            Ok(Err(error @ BadBody::NoRoom)) => Err(Refused::new(held.full, error.to_string())),
            Ok(Err(error @ BadBody::Stopping)) => Err(Refused::new(Code::Draining, error.to_string())),
            Ok(Err(error @ BadBody::Broken { .. })) => {
                Err(Refused::new(Code::BadRequest, format!("the body could not be read: {error}")))
            }
            Err(_elapsed) => Err(Refused::new(Code::SlowSender, format!("the body took over {:?}", self.send_timeout))),
        }
    }

    fn target(&self, name: &str, query: &str) -> Target {
        let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
        Target { zone: zone.map_or_else(|| self.zone.clone(), Zone::from), name: TargetName::from(name) }
    }

    fn announcement(&self, name: &str, body: &[u8]) -> Result<(Announcement, Option<Echo>), Refused> {
        let bad = |error: serde_json::Error| Refused::new(Code::BadAnnouncement, error.to_string());
        let body: AnnounceBody = serde_json::from_slice(body).map_err(bad)?;
        let announcement = body.announcement(name);
        let grant = body.grant.as_deref().and_then(|text| text.parse().ok());
        let echo = grant.map(|grant| Echo { grant, age_ms: body.grant_age_ms });
        let address = announcement.address.ip();
        if !self.networks.iter().any(|network| network.contains(address)) {
            let detail = format!("{address} is in none of --target-networks");
            return Err(Refused::new(Code::AddressRefused, detail));
        }
        if announcement.capacity.slots == 0 || announcement.entries.is_empty() {
            return Err(Refused::new(Code::BadAnnouncement, "slots and entries must not be empty"));
        }
        Ok((announcement, echo))
    }
}

/// What a request holds until it is answered.
#[derive(Debug)]
struct Held<'a> {
    ticket: &'a Arc<Ticket>,
    /// Code of the refusal if there is no room.
    full: Code,
    room: Option<Charge>,
    /// Set once the whole request is here.
    work: Option<Work>,
}

/// Returns the code with which a host at its limit refuses. For a request with a key the host can't tell whether the
/// submission ran before.
pub(crate) fn overload(headers: &HeaderMap, uri: &Uri) -> Code {
    let keyed = headers.contains_key(header::KEY) || uri.path().starts_with("/v1/jobs");
    if keyed { Code::HomeUnknown } else { Code::Overloaded }
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| Refused::new(Code::BadRequest, error.to_string()))
}

pub(crate) fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refused> {
    let bad = |_opaque| Refused::new(Code::BadHeader, format!("{name} is no visible ASCII"));
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(bad)
}

pub(crate) fn parse_key(headers: &HeaderMap) -> Result<Option<Key>, Refused> {
    header_value(headers, header::KEY)?.map(check_key).transpose()
}

fn check_key(text: &str) -> Result<Key, Refused> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    match text.len() {
        1..=MAX_KEY_BYTES if text.bytes().all(is_allowed) => Ok(Key::from(text)),
        _ => {
            let detail = format!("a key has 1 to {MAX_KEY_BYTES} letters, digits and -_.: only");
            Err(Refused::new(Code::BadHeader, detail))
        }
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refused> {
    let bad = || Refused::new(Code::BadHeader, format!("{} is no number of milliseconds", header::DEADLINE));
    let millis = header_value(headers, header::DEADLINE)?.map(|text| text.parse().map_err(|_bad| bad()));
    millis.transpose()?.map(check_deadline).transpose()
}

fn check_deadline(millis: u64) -> Result<Duration, Refused> {
    match Duration::from_millis(millis) {
        timeout if millis > 0 && timeout <= MAX_DEADLINE => Ok(timeout),
        _ => Err(Refused::new(Code::BadHeader, format!("a deadline is 1 to {} ms", MAX_DEADLINE.as_millis()))),
    }
}

fn parse_wait(query: &str) -> Result<Duration, Refused> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms="));
    let bad = |_bad| Refused::new(Code::BadRequest, "wait_ms is no number of milliseconds");
    value.map_or(Ok(Duration::ZERO), |text| text.parse().map(Duration::from_millis).map_err(bad))
}

fn parse_incarnation(query: &str) -> Result<Option<Incarnation>, Refused> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("incarnation="));
    let bad = |_bad| Refused::new(Code::BadRequest, "incarnation is no whole number");
    value.map(|text| text.parse().map(Incarnation).map_err(bad)).transpose()
}

fn parse_job(headers: &HeaderMap, body: &[u8]) -> Result<JobRequest, Refused> {
    let bad = |error: &dyn Display| Refused::new(Code::BadRequest, error.to_string());
    let job = JobBody::parse(body).map_err(|error| bad(&error))?;
    let key = match job.key {
        Some(key) => Some(check_key(key.as_str())?),
        None => parse_key(headers)?,
    };
    let timeout = match job.deadline_ms {
        Some(millis) => Some(check_deadline(millis)?),
        None => parse_deadline(headers)?,
    };
    let task = |task: &mangogw_wire::TaskBody| match task.payload() {
        Ok(body) => Ok(TaskRequest { body: body.into(), needs: task.needs }),
        Err(error) => Err(bad(&error)),
    };
    let tasks = job.tasks.iter().map(task).collect::<Result<_, _>>()?;
    Ok(JobRequest { entry: job.entry, key, timeout, tasks })
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Answer { key, answer } => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let content_type = answer.content_type.and_then(|content_type| HeaderValue::from_str(&content_type).ok());
            if let Some(content_type) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            set_outcome(&mut response, Outcome::Answered, Code::Answered, Some(&key));
            response
        }
        Reply::Refused(refused) => refusal(&refused),
        Reply::Job(view) => job_response(&view),
        Reply::Lease(lease) => as_json(
            StatusCode::OK,
            &LeaseBody {
                heartbeat_ms: lease.heartbeat.as_millis() as u64,
                lease_ms: lease.duration.as_millis() as u64,
                grant: lease.grant.map(|grant| grant.to_string()),
            },
        ),
        Reply::Operator(reply) => as_json(StatusCode::OK, &reply),
        Reply::Done => as_json(StatusCode::OK, &serde_json::json!({})),
    }
}

fn job_response(view: &JobView) -> Response<Full<Bytes>> {
    let status = if view.state == JobState::Running { StatusCode::ACCEPTED } else { StatusCode::OK };
    let code = view.code.and_then(Code::from_number).unwrap_or(Code::Accepted);
    let mut response = as_json(status, view);
    set_outcome(&mut response, code.outcome(), code, Some(&view.key));
    response
}

pub(crate) fn refusal(refused: &Refused) -> Response<Full<Bytes>> {
    let code = refused.code;
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = as_json(status, &Problem::new(code, &refused.detail));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(delay) = refused.retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    set_outcome(&mut response, code.outcome(), code, refused.key.as_ref());
    response
}

/// Sets the headers for outcome and code, and for the submission key if there is one.
pub(crate) fn set_outcome(response: &mut Response<Full<Bytes>>, outcome: Outcome, code: Code, key: Option<&Key>) {
    let headers = response.headers_mut();
    headers.insert(header::OUTCOME, HeaderValue::from_static(outcome.name()));
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    let key = key.and_then(|key| HeaderValue::from_str(key.as_str()).ok());
    if let Some(key) = key {
        headers.insert(header::SUBMISSION, key);
    }
}

fn static_text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    text_response(status, body.to_owned())
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

pub(crate) fn as_json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    // All bodies are plain structs, whose serialization can't fail.
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
