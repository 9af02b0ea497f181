//! Tests operators' commands against a daemon over loopback. They guard against changes that are applied twice, sent
//! from a faulty file, made during a shift, or made without a valid token, and against an audit trail that hides edits
//! or grows with unauthenticated requests.

use bytes::Bytes;
use http::Method;
use mangogw::client::{Client, Response};
use mangogw::command;
use mangogwd::server::Daemon;
use mangogwd::settings::Settings;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CATALOGUE: &str = "[owners.gates]\n[owners.tally]\n[entries.scan]\nowner = \"gates\"\n";

/// Daemon that is the only member of its control group, with an administrator's token.
struct OperatorFixture {
    folder: tempfile::TempDir,
    daemon: Daemon,
}

impl OperatorFixture {
    async fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("first.toml");
        std::fs::write(&path, CATALOGUE).unwrap();
        let args = ["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--notice-ms", "50", "--catalogue"];
        let args = args.into_iter().chain([path.to_str().unwrap()]);
        let daemon = Daemon::bind(&Settings::parse(args, &|_| None).unwrap()).await.unwrap();
        while daemon.node().with_host(|host, now| host.status_view(now).catalogue.0) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        std::fs::write(folder.path().join("token"), daemon.token().unwrap().to_text()).unwrap();
        Self { folder, daemon }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.file(name), text).unwrap();
        self.file(name).to_str().unwrap().to_owned()
    }

    /// Runs a command as the administrator; the error is the text that the tool prints.
    async fn run(&self, words: &[&str]) -> Result<(), String> {
        let host = self.daemon.address().to_string();
        let token = self.file("token");
        let flags = ["--host", &host, "--token-file", token.to_str().unwrap()];
        let args: Vec<String> = words.iter().chain(&flags).map(ToString::to_string).collect();
        command::run(&args, &|_| None).await.map(|_| ()).map_err(|error| error.to_string())
    }

    async fn get(&self, path: &str) -> Response {
        let bearer = format!("Bearer {}", self.daemon.token().unwrap().to_text());
        let headers = [("authorization", bearer.as_str()), ("accept", "application/toml")];
        Client::default().call(self.daemon.address(), Method::GET, path, &headers, Bytes::new()).await.unwrap()
    }

    async fn text(&self, path: &str) -> String {
        String::from_utf8(self.get(path).await.body.to_vec()).unwrap()
    }
}

#[tokio::test]
async fn catalogue_file_is_applied_once_and_rolled_back() {
    let fixture = OperatorFixture::new().await;
    let text = fixture.text("/v1/catalogue").await;
    assert!(text.starts_with("version = 1\n"), "{text}");
    let file = fixture.write("next.toml", &(text.clone() + "[entries.recount]\nowner = \"tally\"\n"));
    fixture.run(&["catalogue", "check", &file]).await.unwrap();
    fixture.run(&["catalogue", "diff", &file]).await.unwrap();
    fixture.run(&["catalogue", "apply", &file]).await.unwrap();
    let error = fixture.run(&["catalogue", "apply", &file]).await.unwrap_err();
    assert!(error.contains("1403"), "{error}");
    let served = fixture.daemon.node().with_host(|host, now| host.status_view(now).catalogue.0);
    assert_eq!(served, 2, "the host serves by the new version");
    fixture.run(&["catalogue", "rollback", "1"]).await.unwrap();
    assert_eq!(fixture.text("/v1/catalogue").await, text.replace("version = 1", "version = 3"));
    fixture.run(&["catalogue", "history"]).await.unwrap();
    fixture.daemon.stop().await;
}

#[tokio::test]
async fn faulty_catalogue_is_rejected_locally_with_every_fault() {
    let fixture = OperatorFixture::new().await;
    let file =
        fixture.write("bad.toml", "[owners.gates]\n[entries.a]\nowner = \"gates\"\nshape = 1\ndeadline_ms = 0\n");
    let error = fixture.run(&["catalogue", "apply", &file]).await.unwrap_err();
    assert!(error.contains("line 4, column 1: entries.a.shape"), "{error}");
    assert!(error.contains("line 5, column 15: entries.a.deadline_ms"), "{error}");
    assert!(fixture.run(&["catalogue", "burn"]).await.unwrap_err().contains("get|check FILE"));
    fixture.daemon.stop().await;
}

#[tokio::test]
async fn shift_closes_catalogue_and_is_audited() {
    let fixture = OperatorFixture::new().await;
    let entry = fixture.write("entry.toml", "owner = \"gates\"\nclass = \"urgent\"\n");
    fixture.run(&["shift", "open"]).await.unwrap();
    let closed = fixture.run(&["catalogue", "put", "scan", &entry]).await.unwrap_err();
    assert!(closed.contains("1402"), "{closed}");
    fixture.run(&["shift", "close"]).await.unwrap();
    fixture.run(&["catalogue", "put", "scan", &entry]).await.unwrap();
    fixture.run(&["catalogue", "delete", "scan"]).await.unwrap();
    fixture.run(&["audit", "--refused"]).await.unwrap();
    let trail = fixture.text("/v1/audit").await;
    let export = fixture.write("audit.jsonl", &trail);
    fixture.run(&["audit", "verify", &export]).await.unwrap();
    assert!(trail.contains("\"from\":\"127.0.0.1:"), "{trail}");
    let edited = fixture.write("edited.jsonl", &trail.replace("urgent", "normal"));
    assert!(fixture.run(&["audit", "verify", &edited]).await.unwrap_err().contains("was changed"));
    fixture.daemon.stop().await;
}

#[tokio::test]
async fn tokens_are_issued_and_unauthenticated_calls_refused() {
    let fixture = OperatorFixture::new().await;
    fixture.run(&["token", "issue", "--name", "gates-desk", "--role", "team:gates"]).await.unwrap();
    fixture.run(&["token", "list"]).await.unwrap();
    assert!(fixture.text("/v1/tokens").await.contains("gates-desk"));
    let bad = fixture.run(&["token", "issue", "--name", "x", "--role", "king"]).await.unwrap_err();
    assert!(bad.contains("team:OWNER"), "{bad}");
    fixture.write("token", "mgw_00000000000000000000000000000000_00");
    let error = fixture.run(&["catalogue", "get"]).await.unwrap_err();
    assert!(error.contains("1400"), "{error}");
    fixture.daemon.stop().await;
}

#[tokio::test]
async fn unauthenticated_flood_adds_few_audit_records() {
    let fixture = OperatorFixture::new().await;
    let started = Instant::now();
    let client = Client::default();
    for _ in 0..300 {
        let call = client.call(fixture.daemon.address(), Method::DELETE, "/v1/catalogue/scan", &[], Bytes::new());
        assert_eq!(call.await.unwrap().status, 401);
    }
    let trail = fixture.text("/v1/audit?who=nobody").await;
    let max_records = 60 + 1 + started.elapsed().as_secs() as usize;
    let records = trail.lines().count();
    assert!((60..=max_records).contains(&records), "{records} records, at most {max_records} expected");
    fixture.daemon.stop().await;
}
