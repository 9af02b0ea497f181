//! The operators' HTTP routes: requests to [`Call`]s, and what is [`Told`] to responses. The reference is
//! `docs/API.md`.

use crate::api::{as_json, header_of, key_of, mark, refusal};
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
use mangogw_host::{Ask, Call, Refused, Reply, Told, View, What};
use mangogw_model::{Code, Entry, EntryName, HostId, Outcome, Team, Version};
use mangogw_wire::header;
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// Audit records of one answer, unless the caller asks for fewer.
const AUDIT_RECORDS: usize = 1_000;

/// The first parts of the paths that are served here, behind `v1`.
pub const ROOTS: &[&str] =
    &["catalogue", "owners", "history", "rollback", "shift", "audit", "tokens", "control", "ownership"];

/// Takes operators' calls to the control group.
pub trait Operate: Sync {
    /// Makes one call and waits for its reply.
    fn operate(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

impl Operate for Arc<Node> {
    async fn operate(&self, call: Call) -> Reply {
        self.ask(Ask::Operate(call)).await
    }
}

/// The address of the client, put into the extensions of a request by whoever accepted its connection.
#[derive(Debug, Clone, Copy)]
pub struct Peer(pub SocketAddr);

type Handled = Result<Response<Full<Bytes>>, Refused>;

/// The body of `POST /v1/tokens`. The secret stays with the host that takes the request; only its hash goes on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenBody {
    token: String,
    name: String,
    role: Role,
    expires_ms: u64,
}

/// The body of the answer to a change.
#[derive(Debug, Serialize)]
struct ChangedBody<'a> {
    code: u16,
    version: Version,
    detail: &'a str,
}

/// Answers one request of an operator. `body` is read already; the path begins with `v1` and one of [`ROOTS`].
///
/// # Errors
/// Why the request is refused.
pub async fn handle<O: Operate>(to: &O, head: &Parts, body: &[u8]) -> Handled {
    let desk = Desk { to, head };
    let path = head.uri.path().trim_matches('/').strip_prefix("v1/").unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match (&head.method, parts.as_slice()) {
        (&Method::GET, ["catalogue"]) => desk.catalogue().await,
        (&Method::GET, ["catalogue", name]) => desk.read(View::Entry((*name).into())).await,
        (&Method::GET, ["history"]) => desk.read(View::History).await,
        (&Method::GET, ["shift"]) => desk.read(View::Shift).await,
        (&Method::GET, ["audit"]) => desk.read(View::Audit(Box::new(desk.audit_query()?))).await,
        (&Method::GET, ["tokens"]) => desk.read(View::Tokens).await,
        (&Method::GET, ["control"]) => desk.read(View::Group).await,
        (&Method::GET, ["ownership"]) => desk.read(View::Ownership).await,
        (&Method::POST, ["catalogue"]) => desk.apply(body).await,
        (&Method::PUT, ["catalogue", name]) => desk.put((*name).into(), body).await,
        (&Method::DELETE, ["catalogue", name]) => desk.change(Action::Delete { name: (*name).into() }).await,
        (&Method::PUT, ["owners", name]) => {
            let team: Team = json(body)?;
            desk.change(Action::PutOwner { name: (*name).into(), team }).await
        }
        (&Method::DELETE, ["owners", name]) => desk.change(Action::DeleteOwner { name: (*name).into() }).await,
        (&Method::POST, ["rollback", version]) => {
            desk.change(Action::Rollback { to: Version(number("the version", version)?) }).await
        }
        (&Method::POST, ["shift", "open"]) => desk.change(Action::Shift { open: true }).await,
        (&Method::POST, ["shift", "close"]) => desk.change(Action::Shift { open: false }).await,
        (&Method::POST, ["tokens"]) => desk.change(issue(json(body)?)?).await,
        (&Method::DELETE, ["tokens", id]) => desk.change(Action::Revoke { id: number("the token id", id)? }).await,
        (&Method::DELETE, ["control", host]) => desk.call(What::Remove(HostId(number("the host", host)?))).await,
        (&Method::POST, ["control", host, "lead"]) => {
            desk.call(What::Transfer(HostId(number("the host", host)?))).await
        }
        (method, _) => Err(Refused::new(Code::NoRoute, format!("{method} {}", head.uri.path()))),
    }
}

/// One request, and where its calls go.
#[derive(Debug)]
struct Desk<'a, O> {
    to: &'a O,
    head: &'a Parts,
}

impl<O: Operate> Desk<'_, O> {
    async fn call(&self, what: What) -> Handled {
        let call = Call { token: self.token()?, from: self.from(), what };
        answer(self.to.operate(call).await)
    }

    async fn read(&self, view: View) -> Handled {
        let kind = match &view {
            View::Catalogue { toml: true, .. } => "application/toml",
            View::Audit(_) => "application/x-ndjson",
            _ => "application/json",
        };
        let mut response = self.call(What::Read(view)).await?;
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
        let version = self.query("version").map(|text| number("version", text)).transpose()?.map(Version);
        let accept = header_of(&self.head.headers, ACCEPT.as_str())?.unwrap_or_default();
        let toml = accept.contains("toml");
        let mut response = self.read(View::Catalogue { toml, version }).await?;
        if version.is_some() {
            // The tag of the current version does not belong to an earlier one.
            response.headers_mut().remove(ETAG);
        }
        Ok(response)
    }

    async fn change(&self, action: Action) -> Handled {
        let key = key_of(&self.head.headers)?;
        let base = self.base()?;
        self.call(What::Change { key, base, action: Box::new(action) }).await
    }

    async fn apply(&self, body: &[u8]) -> Handled {
        // A long text is read only for somebody with a token.
        self.call(What::Read(View::Shift)).await?;
        let text = text(body)?;
        let parse = if self.is_toml()? { Catalogue::parse } else { Catalogue::parse_json };
        match parse(text) {
            Ok(set) => {
                let (owners, entries) = (set.owners().clone(), set.entries().clone());
                self.change(Action::Apply { owners, entries }).await
            }
            Err(faults) => self.faulty(&faults).await,
        }
    }

    async fn put(&self, name: EntryName, body: &[u8]) -> Handled {
        let text = text(body)?;
        let parse: fn(&str) -> Result<Entry, Faults> = if self.is_toml()? { parse_entry } else { parse_entry_json };
        match parse(text) {
            Ok(entry) => self.change(Action::Put { name, entry: Box::new(entry) }).await,
            Err(faults) => self.faulty(&faults).await,
        }
    }

    /// Has the try recorded, and lists every fault.
    async fn faulty(&self, faults: &Faults) -> Handled {
        let first = faults.iter().next().map(ToString::to_string).unwrap_or_default();
        let what = format!("{} {}: {first}", self.head.method, self.head.uri.path());
        let action = Box::new(Action::Refused { code: Code::BadCatalogue, description: what, skipped: 0 });
        match self.call(What::Change { key: None, base: None, action }).await {
            Err(refused) if refused.code == Code::BadCatalogue => {
                Err(Refused::new(Code::BadCatalogue, faults.to_string()))
            }
            other => other,
        }
    }

    fn audit_query(&self) -> Result<AuditQuery, Refused> {
        let all = AuditQuery::default();
        let number_of = |name: &str, default| self.query(name).map_or(Ok(default), |text| number(name, text));
        Ok(AuditQuery {
            after: number_of("after", all.after)?,
            since_ms: number_of("since_ms", all.since_ms)?,
            until_ms: number_of("until_ms", all.until_ms)?,
            who: self.query("who").map(str::to_owned),
            entry: self.query("entry").map(EntryName::from),
            refused: self.query("refused") == Some("true"),
            limit: (number_of("limit", AUDIT_RECORDS as u64)? as usize).min(AUDIT_RECORDS),
        })
    }

    fn token(&self) -> Result<String, Refused> {
        let value = header_of(&self.head.headers, AUTHORIZATION.as_str())?;
        Ok(value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default().trim().to_owned())
    }

    fn from(&self) -> String {
        self.head.extensions.get::<Peer>().map_or_else(String::new, |peer| peer.0.to_string())
    }

    /// The version that a change is based on: `If-Match: "7"`.
    fn base(&self) -> Result<Option<Version>, Refused> {
        let value = header_of(&self.head.headers, IF_MATCH.as_str())?;
        let bad = || Refused::new(Code::BadHeader, "If-Match is a version in quotes, such as \"7\"");
        let version = value.map(|value| value.trim().trim_matches('"').parse().map_err(|_bad| bad()));
        Ok(version.transpose()?.map(Version))
    }

    fn is_toml(&self) -> Result<bool, Refused> {
        Ok(header_of(&self.head.headers, CONTENT_TYPE.as_str())?.is_some_and(|kind| kind.contains("toml")))
    }

    fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query().unwrap_or_default().split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn issue(body: TokenBody) -> Result<Action, Refused> {
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

fn answer(reply: Reply) -> Handled {
    match reply {
        Reply::Told(Told::Changed(reply)) => changed(&reply),
        Reply::Told(Told::Read { version, body }) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            tag(&mut response, version);
            Ok(response)
        }
        Reply::Told(Told::Done) | Reply::Done => Ok(as_json(StatusCode::OK, &serde_json::json!({}))),
        Reply::Told(Told::Refused { code, detail }) => Err(Refused::new(code, detail)),
        Reply::Refused(refused) => Err(refused),
        Reply::Answer { .. } | Reply::Job(_) | Reply::Lease(_) => {
            Err(Refused::new(Code::Internal, "the host gave the reply to another question"))
        }
    }
}

/// The same reply gives the same bytes, so that a resend gets the first answer.
fn changed(reply: &Changed) -> Handled {
    let Changed { code, version, detail } = reply;
    if code.outcome() != Outcome::Answered {
        return match code {
            // The one refusal whose version the caller needs: the headers carry it.
            Code::LostRace | Code::NeedsVersion => {
                let mut response = refusal(&Refused::new(*code, detail.clone()));
                tag(&mut response, *version);
                Ok(response)
            }
            _ => Err(Refused::new(*code, detail.clone())),
        };
    }
    let mut response = as_json(StatusCode::OK, &ChangedBody { code: code.number(), version: *version, detail });
    mark(&mut response, code.outcome(), *code, None);
    tag(&mut response, *version);
    Ok(response)
}

fn tag(response: &mut Response<Full<Bytes>>, version: Version) {
    let headers = response.headers_mut();
    headers.insert(header::VERSION, HeaderValue::from(version.0));
    // Quoted digits are always a valid header.
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        headers.insert(ETAG, value);
    }
}

fn text(body: &[u8]) -> Result<&str, Refused> {
    std::str::from_utf8(body).map_err(|error| Refused::new(Code::BadRequest, format!("the body is no UTF-8: {error}")))
}

fn json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| Refused::new(Code::BadRequest, error.to_string()))
}

fn number<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T, Refused> {
    text.parse().map_err(|error| Refused::new(Code::BadRequest, format!("{name} is {text:?}: {error}")))
}
