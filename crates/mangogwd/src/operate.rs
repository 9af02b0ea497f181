//! HTTP routes for operators: turns requests into [`Call`]s and [`OperatorReply`]s into responses. `docs/API.md` is the
//! reference.

use crate::api::{as_json, header_value, parse_key, refusal, set_outcome};
use crate::node::Node;
use bytes::Bytes;
use http::header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH};
use http::request::Parts;
use http::{HeaderValue, Method, Response, StatusCode};
use http_body_util::Full;
use mangogw_catalogue::{
    Action, AuditQuery, Catalogue, Faults, NAME_RULE, Reply as Changed, Role, Token, parse_entry, parse_entry_json,
    valid_name,
};
use mangogw_host::{Call, CallKind, ControlQuery, HostRequest, OperatorReply, Refused, Reply};
use mangogw_model::{Code, Entry, EntryName, HostId, Outcome, Team, Version};
use mangogw_wire::header;
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// Most audit records in one response; a caller may request fewer.
const AUDIT_RECORDS: usize = 1_000;

/// First segments, after `v1`, of the paths that this module serves.
pub const ROOTS: &[&str] =
    &["catalogue", "owners", "history", "rollback", "shift", "audit", "tokens", "control", "ownership"];

/// Makes operators' calls to the control group.
pub trait ControlClient: Sync {
    /// Makes a call and returns its reply.
    fn call(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

impl ControlClient for Arc<Node> {
    async fn call(&self, call: Call) -> Reply {
        self.request(HostRequest::Operate(call)).await
    }
}

/// Address of a client; [`Pipeline`](crate::pipeline::Pipeline) puts it into the extensions of each request.
#[derive(Debug, Clone, Copy)]
pub struct ClientAddress(pub SocketAddr);

type Handled = Result<Response<Full<Bytes>>, Refused>;

/// Body of `POST /v1/tokens`. The secret stays on the host that receives the request; only its hash is passed on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenBody {
    token: String,
    name: String,
    role: Role,
    expires_ms: u64,
}

/// Body of the response to a change.
#[derive(Debug, Serialize)]
struct ChangedBody<'a> {
    code: u16,
    version: Version,
    detail: &'a str,
}

/// Handles one request of an operator, whose path begins with `v1` and one of [`ROOTS`]; `body` is the whole body.
///
/// # Errors
/// [`Refused`] with the code and the reason of the refusal.
pub async fn handle<O: ControlClient>(control: &O, head: &Parts, body: &[u8]) -> Handled {
    let context = RequestContext { control, head };
    let path = head.uri.path().trim_matches('/').strip_prefix("v1/").unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match (&head.method, parts.as_slice()) {
        (&Method::GET, ["catalogue"]) => context.catalogue().await,
        (&Method::GET, ["catalogue", name]) => context.read(ControlQuery::Entry((*name).into())).await,
        (&Method::GET, ["history"]) => context.read(ControlQuery::History).await,
        (&Method::GET, ["shift"]) => context.read(ControlQuery::Shift).await,
        (&Method::GET, ["audit"]) => context.read(ControlQuery::Audit(Box::new(context.audit_query()?))).await,
        (&Method::GET, ["tokens"]) => context.read(ControlQuery::Tokens).await,
        (&Method::GET, ["control"]) => context.read(ControlQuery::Group).await,
        (&Method::GET, ["ownership"]) => context.read(ControlQuery::Ownership).await,
        (&Method::POST, ["catalogue"]) => context.apply(body).await,
        (&Method::PUT, ["catalogue", name]) => context.put((*name).into(), body).await,
        (&Method::DELETE, ["catalogue", name]) => context.change(Action::Delete { name: (*name).into() }).await,
        (&Method::PUT, ["owners", name]) => {
            let team: Team = parse_json(body)?;
            context.change(Action::PutOwner { name: (*name).into(), team }).await
        }
        (&Method::DELETE, ["owners", name]) => context.change(Action::DeleteOwner { name: (*name).into() }).await,
        (&Method::POST, ["rollback", version]) => {
            context.change(Action::Rollback { to: Version(parse_number("the version", version)?) }).await
        }
        (&Method::POST, ["shift", "open"]) => context.change(Action::Shift { open: true }).await,
        (&Method::POST, ["shift", "close"]) => context.change(Action::Shift { open: false }).await,
        (&Method::POST, ["tokens"]) => context.change(issue_action(parse_json(body)?)?).await,
        (&Method::DELETE, ["tokens", id]) => {
            context.change(Action::Revoke { id: parse_number("the token id", id)? }).await
        }
        (&Method::DELETE, ["control", host]) => {
            context.call(CallKind::Remove(HostId(parse_number("the host", host)?))).await
        }
        (&Method::POST, ["control", host, "lead"]) => {
            context.call(CallKind::Transfer(HostId(parse_number("the host", host)?))).await
        }
        (method, _) => Err(Refused::new(Code::NoRoute, format!("{method} {}", head.uri.path()))),
    }
}

/// Head of a request, and the client for the calls that the request leads to.
#[derive(Debug)]
struct RequestContext<'a, O> {
    control: &'a O,
    head: &'a Parts,
}

impl<O: ControlClient> RequestContext<'_, O> {
    async fn call(&self, kind: CallKind) -> Handled {
        let call = Call { token: self.token()?, client_address: self.client_address(), kind };
        respond(self.control.call(call).await)
    }

    async fn read(&self, query: ControlQuery) -> Handled {
        let kind = match &query {
            ControlQuery::Catalogue { toml: true, .. } => "application/toml",
            ControlQuery::Audit(_) => "application/x-ndjson",
            _ => "application/json",
        };
        let mut response = self.call(CallKind::Read(query)).await?;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        let known = self.head.headers.get(IF_NONE_MATCH);
        if known.is_some() && known == headers.get(ETAG) {
            *response.status_mut() = StatusCode::NOT_MODIFIED;
            *response.body_mut() = Full::default();
        }
        Ok(response)
    }

    async fn catalogue(&self) -> Handled {
        let version = self.query("version").map(|text| parse_number("version", text)).transpose()?.map(Version);
        let accept = header_value(&self.head.headers, ACCEPT.as_str())?.unwrap_or_default();
        let toml = accept.contains("toml");
        let mut response = self.read(ControlQuery::Catalogue { toml, version }).await?;
        if version.is_some() {
            // The ETag names the current version, but the body holds an earlier one.
            response.headers_mut().remove(ETAG);
        }
        Ok(response)
    }

    async fn change(&self, action: Action) -> Handled {
        let key = parse_key(&self.head.headers)?;
        let base = self.base()?;
        self.call(CallKind::Change { key, base, action: Box::new(action) }).await
    }

    async fn apply(&self, body: &[u8]) -> Handled {
        // Checks the token first: a long text is parsed only for a caller with a valid one.
        self.call(CallKind::Read(ControlQuery::Shift)).await?;
        let text = parse_text(body)?;
        let parse = if self.is_toml()? { Catalogue::parse } else { Catalogue::parse_json };
        match parse(text) {
            Ok(set) => {
                let (owners, entries) = (set.owners().clone(), set.entries().clone());
                self.change(Action::Apply { owners, entries }).await
            }
            Err(faults) => self.refuse_faults(&faults).await,
        }
    }

    async fn put(&self, name: EntryName, body: &[u8]) -> Handled {
        let text = parse_text(body)?;
        let parse: fn(&str) -> Result<Entry, Faults> = if self.is_toml()? { parse_entry } else { parse_entry_json };
        match parse(text) {
            Ok(entry) => self.change(Action::Put { name, entry: Box::new(entry) }).await,
            Err(faults) => self.refuse_faults(&faults).await,
        }
    }

    /// Records the attempt in the audit trail, and refuses it with a list of all faults.
    async fn refuse_faults(&self, faults: &Faults) -> Handled {
        let first_fault = faults.iter().next().map(ToString::to_string).unwrap_or_default();
        let description = format!("{} {}: {first_fault}", self.head.method, self.head.uri.path());
        let action = Box::new(Action::Refused { code: Code::BadCatalogue, description, skipped: 0 });
        match self.call(CallKind::Change { key: None, base: None, action }).await {
            Err(refused) if refused.code == Code::BadCatalogue => {
                Err(Refused::new(Code::BadCatalogue, faults.to_string()))
            }
            other => other,
        }
    }

    fn audit_query(&self) -> Result<AuditQuery, Refused> {
        let defaults = AuditQuery::default();
        let number_or = |name: &str, default| self.query(name).map_or(Ok(default), |text| parse_number(name, text));
        Ok(AuditQuery {
            after: number_or("after", defaults.after)?,
            since_ms: number_or("since_ms", defaults.since_ms)?,
            until_ms: number_or("until_ms", defaults.until_ms)?,
            who: self.query("who").map(str::to_owned),
            entry: self.query("entry").map(EntryName::from),
            refused: self.query("refused") == Some("true"),
            limit: (number_or("limit", AUDIT_RECORDS as u64)? as usize).min(AUDIT_RECORDS),
        })
    }

    fn token(&self) -> Result<String, Refused> {
        let value = header_value(&self.head.headers, AUTHORIZATION.as_str())?;
        Ok(value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default().trim().to_owned())
    }

    fn client_address(&self) -> String {
        self.head.extensions.get::<ClientAddress>().map_or_else(String::new, |peer| peer.0.to_string())
    }

    /// Returns the version that a change is based on, from `If-Match: "7"`; `None` without that header.
    fn base(&self) -> Result<Option<Version>, Refused> {
        let value = header_value(&self.head.headers, IF_MATCH.as_str())?;
        let bad = || Refused::new(Code::BadHeader, "If-Match is a version in quotes, such as \"7\"");
        let version = value.map(|value| value.trim().trim_matches('"').parse().map_err(|_bad| bad()));
        Ok(version.transpose()?.map(Version))
    }

    fn is_toml(&self) -> Result<bool, Refused> {
        Ok(header_value(&self.head.headers, CONTENT_TYPE.as_str())?.is_some_and(|kind| kind.contains("toml")))
    }

    fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query().unwrap_or_default().split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn issue_action(body: TokenBody) -> Result<Action, Refused> {
    let team = match &body.role {
        Role::Team(owner) => owner.as_str(),
        Role::Administrator | Role::Viewer => "none",
    };
    if !valid_name(&body.name) || !valid_name(team) {
        return Err(Refused::new(Code::BadRequest, NAME_RULE));
    }
    let token = body.token.parse::<Token>().map_err(|bad| Refused::new(Code::BadRequest, bad.to_string()))?;
    let (id, hash) = (token.id(), token.hash());
    Ok(Action::Issue { id, hash, name: body.name, role: body.role, expires_ms: body.expires_ms })
}

fn respond(reply: Reply) -> Handled {
    match reply {
        Reply::Operator(OperatorReply::Changed(reply)) => respond_to_change(&reply),
        Reply::Operator(OperatorReply::Read { version, body }) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            set_etag(&mut response, version);
            Ok(response)
        }
        Reply::Operator(OperatorReply::Done) | Reply::Done => Ok(as_json(StatusCode::OK, &serde_json::json!({}))),
        Reply::Operator(OperatorReply::Refused { code, detail }) => Err(Refused::new(code, detail)),
        Reply::Refused(refused) => Err(refused),
        Reply::Answer { .. } | Reply::Job(_) | Reply::Lease(_) => {
            Err(Refused::new(Code::Internal, "the host gave the reply to another question"))
        }
    }
}

/// Turns the reply to a change into a response. The same reply gives the same bytes, so that a resend gets the first
/// response again.
fn respond_to_change(reply: &Changed) -> Handled {
    let Changed { code, version, detail } = reply;
    if code.outcome() != Outcome::Answered {
        return match code {
            // The caller needs the current version to try again; the headers carry it.
            Code::LostRace | Code::NeedsVersion => {
                let mut response = refusal(&Refused::new(*code, detail.clone()));
                set_etag(&mut response, *version);
                Ok(response)
            }
            _ => Err(Refused::new(*code, detail.clone())),
        };
    }
    let mut response = as_json(StatusCode::OK, &ChangedBody { code: code.number(), version: *version, detail });
    set_outcome(&mut response, code.outcome(), *code, None);
    set_etag(&mut response, *version);
    Ok(response)
}

fn set_etag(response: &mut Response<Full<Bytes>>, version: Version) {
    let headers = response.headers_mut();
    headers.insert(header::VERSION, HeaderValue::from(version.0));
    // Digits in quotes are always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        headers.insert(ETAG, value);
    }
}

fn parse_text(body: &[u8]) -> Result<&str, Refused> {
    std::str::from_utf8(body).map_err(|error| Refused::new(Code::BadRequest, format!("the body is no UTF-8: {error}")))
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| Refused::new(Code::BadRequest, error.to_string()))
}

fn parse_number<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T, Refused> {
    text.parse().map_err(|error| Refused::new(Code::BadRequest, format!("{name} is {text:?}: {error}")))
}
