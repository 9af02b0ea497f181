//! Guards the HTTP routes for operators, which run here on the control state alone, without a node.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use mangogw_catalogue::{Action, AuditQuery, Caller, Command, Control, Role, Token};
use mangogw_host::{Call, CallKind, ControlQuery, OperatorReply, Refused, Reply};
use mangogw_model::{Code, Team, Version};
use mangogwd::operate::{ClientAddress, ControlClient, handle};
use std::sync::Mutex;

const END_MS: u64 = 1_000_000;

/// Control group with one member, which applies each command at once.
#[derive(Debug)]
struct LocalControl(Mutex<Control>);

impl LocalControl {
    fn new() -> Self {
        let mut control = Control::default();
        let people =
            [(1, "ana", Role::Administrator), (2, "viv", Role::Viewer), (3, "desk", Role::Team("gates".into()))];
        for (id, name, role) in people {
            let token = token(id);
            let (id, hash) = (token.id(), token.hash());
            let issue = Action::Issue { id, hash, name: name.into(), role, expires_ms: END_MS };
            let index = control.index() + 1;
            let caller = if index == 1 { Caller::Bootstrap } else { Caller::Token(self::token(1).id()) };
            assert_eq!(control.apply(index, &Command::new(0, caller, issue)).code, Code::Answered);
        }
        let owners = [("gates".into(), Team::default()), ("tally".into(), Team::default())].into();
        let set = Action::Apply { owners, entries: [].into() };
        let set = Command { base: Some(Version(0)), ..Command::new(0, Caller::Token(token(1).id()), set) };
        assert_eq!(control.apply(4, &set).code, Code::Answered);
        Self(Mutex::new(control))
    }

    fn run_query(&self, query: &ControlQuery) -> OperatorReply {
        let control = self.0.lock().unwrap();
        let version = control.catalogue().version();
        let body = match query {
            ControlQuery::Catalogue { toml: true, .. } => Some(control.catalogue().to_toml()),
            ControlQuery::Catalogue { .. } => Some(control.catalogue().to_json()),
            ControlQuery::Entry(name) => {
                control.catalogue().entry(name).map(|entry| serde_json::to_string(&**entry).unwrap())
            }
            ControlQuery::Shift => Some(serde_json::to_string(control.shift()).unwrap()),
            ControlQuery::Audit(audit_query) => {
                Some(control.audit(audit_query).map(|line| line.to_string()).collect::<Vec<_>>().join("\n"))
            }
            _ => Some(String::new()),
        };
        body.map_or(OperatorReply::refused(Code::UnknownEntry, "none"), |body| OperatorReply::Read { version, body })
    }
}

impl ControlClient for LocalControl {
    async fn call(&self, call: Call) -> Reply {
        let session = self.0.lock().unwrap().authenticate(&call.token, 1);
        let reply = match (call.kind, session) {
            (_, Err(code)) => return Reply::Refused(Refused::new(code, code.title())),
            (CallKind::Change { key, base, action }, Ok(session)) => {
                let mut control = self.0.lock().unwrap();
                let caller = Caller::Token(session.token);
                let command = Command { from: call.client_address, key, base, ..Command::new(1, caller, *action) };
                let command = Command::decode(&command.encode()).expect("an encoded command decodes");
                let index = control.index() + 1;
                OperatorReply::Changed(control.apply(index, &command))
            }
            (CallKind::Read(query), Ok(_)) => self.run_query(&query),
            (CallKind::Remove(_) | CallKind::Transfer(_), Ok(_)) => OperatorReply::Done,
        };
        Reply::Operator(reply)
    }
}

fn token(id: u128) -> Token {
    Token::from_random(id, [id as u8; 32])
}

/// Parts of a response that the tests compare.
#[derive(Debug, PartialEq, Eq)]
struct ResponseSummary {
    status: u16,
    code: u16,
    tag: String,
    body: String,
}

async fn summarize(response: Response<Full<Bytes>>) -> ResponseSummary {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).map_or("", |value| value.to_str().unwrap()).to_owned();
    let body = body.collect().await.unwrap().to_bytes();
    let code = text("mangogw-code").parse().unwrap_or(0);
    ResponseSummary {
        status: head.status.as_u16(),
        code,
        tag: text("etag"),
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

async fn send(
    control: &LocalControl,
    who: u128,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<ResponseSummary, (Code, String)> {
    let (method, path) = line.split_once(' ').unwrap();
    let method: Method = method.parse().unwrap();
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("authorization", format!("Bearer {}", token(who).to_text()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut request = request.body(()).unwrap();
    request.extensions_mut().insert(ClientAddress("192.0.2.7:5".parse().unwrap()));
    let (head, ()) = request.into_parts();
    match handle(control, &head, body.as_bytes()).await {
        Ok(response) => Ok(summarize(response).await),
        Err(refused) => Err((refused.code, refused.detail)),
    }
}

async fn refused(control: &LocalControl, who: u128, line: &str, headers: &[(&str, &str)], body: &str) -> Code {
    send(control, who, line, headers, body).await.expect_err("the request is refused").0
}

const SCAN: &str = "{\"owner\":\"gates\",\"class\":\"urgent\"}";

#[tokio::test]
async fn a_put_is_based_on_the_tag_that_was_read() {
    let control = LocalControl::new();
    let read = send(&control, 2, "GET /v1/catalogue", &[], "").await.unwrap();
    assert_eq!((read.status, read.tag.as_str()), (200, "\"1\""));
    let put = send(&control, 1, "PUT /v1/catalogue/gate-scan", &[("if-match", &read.tag)], SCAN).await.unwrap();
    assert_eq!((put.status, put.code, put.tag.as_str()), (200, 1000, "\"2\""));
    let entry = send(&control, 2, "GET /v1/catalogue/gate-scan", &[], "").await.unwrap();
    assert!(entry.body.contains("\"class\":\"urgent\""), "{}", entry.body);
    let toml = send(&control, 2, "GET /v1/catalogue", &[("accept", "application/toml")], "").await.unwrap();
    assert!(toml.body.starts_with("version = 2\n"), "{}", toml.body);
    let same = send(&control, 2, "GET /v1/catalogue", &[("if-none-match", "\"2\"")], "").await.unwrap();
    assert_eq!((same.status, same.body.as_str()), (304, ""));
}

#[tokio::test]
async fn a_change_based_on_an_old_version_is_refused_with_the_current_version() {
    let control = LocalControl::new();
    send(&control, 1, "PUT /v1/catalogue/gate-scan", &[("if-match", "\"1\"")], SCAN).await.unwrap();
    let lost = send(&control, 3, "PUT /v1/catalogue/gate-scan", &[("if-match", "\"1\"")], SCAN).await.unwrap();
    assert_eq!((lost.status, lost.code, lost.tag.as_str()), (412, 1403, "\"2\""));
    let none = send(&control, 3, "PUT /v1/catalogue/gate-scan", &[], SCAN).await.unwrap();
    assert_eq!((none.status, none.code, none.tag.as_str()), (428, 1405, "\"2\""));
    assert_eq!(refused(&control, 3, "PUT /v1/catalogue/x", &[("if-match", "*")], SCAN).await, Code::BadHeader);
}

#[tokio::test]
async fn a_resent_change_gets_the_same_response() {
    let control = LocalControl::new();
    let headers = [("if-match", "\"1\""), ("idempotency-key", "k1")];
    let first = send(&control, 1, "PUT /v1/catalogue/gate-scan", &headers, SCAN).await.unwrap();
    assert_eq!(send(&control, 1, "PUT /v1/catalogue/gate-scan", &headers, SCAN).await.unwrap(), first);
    let other = refused(&control, 1, "DELETE /v1/catalogue/gate-scan", &headers, "").await;
    assert_eq!(other, Code::KeyReused);
}

#[tokio::test]
async fn faults_are_listed_with_lines_and_the_attempt_is_audited() {
    let control = LocalControl::new();
    let text = "[owners.gates]\n[entries.a]\nowner = \"gates\"\ndeadline_ms = 0\nshape = 1\n";
    let headers = [("if-match", "\"1\""), ("content-type", "application/toml")];
    let (code, detail) =
        send(&control, 1, "POST /v1/catalogue", &headers, text).await.expect_err("the catalogue has faults");
    assert_eq!(code, Code::BadCatalogue);
    assert!(detail.contains("line 4, column 15: entries.a.deadline_ms"), "{detail}");
    assert!(detail.contains("line 5, column 1: entries.a.shape"), "{detail}");
    let query = AuditQuery { refused: true, ..AuditQuery::default() };
    let record = control.0.lock().unwrap().audit(&query).last().expect("the attempt is in the audit trail").record;
    assert_eq!((record.who.as_str(), record.from.as_str(), record.code), ("ana", "192.0.2.7:5", Code::BadCatalogue));
    assert!(record.target.starts_with("POST /v1/catalogue: line 4"), "{}", record.target);
    let long = format!("\"{}\" = 1\n", "x".repeat(9_000_000));
    assert_eq!(refused(&control, 1, "POST /v1/catalogue", &headers, &long).await, Code::BadCatalogue);
}

#[tokio::test]
async fn whole_catalogues_are_accepted_as_toml_or_json() {
    let control = LocalControl::new();
    let text = send(&control, 1, "GET /v1/catalogue", &[("accept", "application/toml")], "").await.unwrap().body;
    let text = text + "[entries.a]\nowner = \"gates\"\n";
    let headers = [("if-match", "\"1\""), ("content-type", "application/toml")];
    assert_eq!(send(&control, 1, "POST /v1/catalogue", &headers, &text).await.unwrap().tag, "\"2\"");
    let json = send(&control, 1, "GET /v1/catalogue", &[], "").await.unwrap().body;
    assert_eq!(send(&control, 1, "POST /v1/catalogue", &[("if-match", "2")], &json).await.unwrap().tag, "\"3\"");
    let back = send(&control, 1, "POST /v1/rollback/1", &[("if-match", "3")], "").await.unwrap();
    assert_eq!((back.status, back.tag.as_str()), (200, "\"4\""));
    assert_eq!(refused(&control, 1, "GET /v1/catalogue/a", &[], "").await, Code::UnknownEntry);
}

#[tokio::test]
async fn an_open_shift_blocks_catalogue_changes() {
    let control = LocalControl::new();
    assert_eq!(refused(&control, 3, "POST /v1/shift/open", &[], "").await, Code::Forbidden);
    assert_eq!(send(&control, 1, "POST /v1/shift/open", &[], "").await.unwrap().status, 200);
    let shift = send(&control, 2, "GET /v1/shift", &[], "").await.unwrap().body;
    assert!(shift.contains("\"open\":true"), "{shift}");
    let edit = refused(&control, 1, "PUT /v1/catalogue/gate-scan", &[("if-match", "1")], SCAN).await;
    assert_eq!(edit, Code::ShiftOpen);
    assert_eq!(refused(&control, 1, "POST /v1/shift/open", &[], "").await, Code::ShiftState);
    assert_eq!(send(&control, 1, "POST /v1/shift/close", &[], "").await.unwrap().status, 200);
}

#[tokio::test]
async fn tokens_are_issued_and_revoked_without_showing_a_secret() {
    let control = LocalControl::new();
    let new = token(9).to_text();
    let body =
        format!("{{\"token\":\"{new}\",\"name\":\"new\",\"role\":{{\"team\":\"tally\"}},\"expires_ms\":{END_MS}}}");
    let issued = send(&control, 1, "POST /v1/tokens", &[], &body).await.unwrap();
    assert_eq!(issued.status, 200);
    assert!(!issued.body.contains(&new[36..]), "{}", issued.body);
    let own = "{\"owner\":\"tally\"}";
    assert_eq!(send(&control, 9, "PUT /v1/catalogue/t", &[("if-match", "1")], own).await.unwrap().status, 200);
    let path = format!("DELETE /v1/tokens/{}", token(9).id());
    assert_eq!(send(&control, 1, &path, &[], "").await.unwrap().status, 200);
    assert_eq!(refused(&control, 9, "GET /v1/catalogue", &[], "").await, Code::Unauthorized);
    assert_eq!(refused(&control, 1, "POST /v1/tokens", &[], "{\"token\":\"x\"}").await, Code::BadRequest);
    assert_eq!(refused(&control, 1, "DELETE /v1/tokens/zz", &[], "").await, Code::BadRequest);
    let long = "x".repeat(9_000_000);
    let body = format!("{{\"token\":\"{new}\",\"name\":\"{long}\",\"role\":\"viewer\",\"expires_ms\":{END_MS}}}");
    assert_eq!(refused(&control, 1, "POST /v1/tokens", &[], &body).await, Code::BadRequest);
}

#[tokio::test]
async fn the_audit_trail_is_filtered_and_limited() {
    let control = LocalControl::new();
    send(&control, 1, "PUT /v1/catalogue/gate-scan", &[("if-match", "1")], SCAN).await.unwrap();
    let all = send(&control, 2, "GET /v1/audit", &[], "").await.unwrap().body;
    assert_eq!(mangogw_catalogue::verify_export(&all).expect("the audit export verifies").last_seq, 5);
    let one = send(&control, 2, "GET /v1/audit?entry=gate-scan&who=ana&limit=5", &[], "").await.unwrap().body;
    assert_eq!(one.lines().count(), 1);
    assert_eq!(send(&control, 2, "GET /v1/audit?after=4", &[], "").await.unwrap().body.lines().count(), 1);
    assert_eq!(refused(&control, 2, "GET /v1/audit?after=x", &[], "").await, Code::BadRequest);
}

#[tokio::test]
async fn unknown_tokens_and_paths_are_refused() {
    let control = LocalControl::new();
    for line in
        ["GET /v1/catalogue", "POST /v1/catalogue", "PUT /v1/catalogue/a", "GET /v1/audit", "POST /v1/shift/open"]
    {
        assert_eq!(refused(&control, 77, line, &[], "{}").await, Code::Unauthorized, "{line}");
    }
    for line in ["PATCH /v1/catalogue", "GET /v1/shift/open", "POST /v1/shift/later", "GET /v1/tokens/1/2"] {
        assert_eq!(refused(&control, 1, line, &[], "").await, Code::NoRoute, "{line}");
    }
    let bad = refused(&control, 1, "PUT /v1/owners/gates", &[("if-match", "1")], "{\"colour\":1}").await;
    assert_eq!(bad, Code::BadRequest);
    let put = send(&control, 1, "PUT /v1/owners/gates", &[("if-match", "1")], "{\"weight\":3}").await.unwrap();
    assert_eq!(StatusCode::from_u16(put.status).unwrap(), StatusCode::OK);
}
