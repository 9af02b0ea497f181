//! Guards against losing or repeating a catalogue change when a host is killed. Each round kills the process 0 to 25 ms
//! after a change was sent, before or after the change is durable, and resends the change to the restarted process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Milliseconds between sending a change and killing the process; one round each.
const KILL_DELAYS_MS: [u64; 10] = [0, 1, 2, 3, 4, 6, 8, 10, 15, 25];

/// Daemon that runs as a child process.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn spawn(folder: &Path) -> Self {
        let data = folder.join("data");
        let catalogue = folder.join("catalogue.toml");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mangogwd"))
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--log", "info"])
            .args(["--data".as_ref(), data.as_os_str(), "--catalogue".as_ref(), catalogue.as_os_str()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let line = lines
            .find_map(|line| line.ok().filter(|line| line.contains("server: listening")))
            .expect("the log says that the server listens");
        // Reads the rest of the log, so that the daemon never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        let address = line
            .split(" address=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .expect("the log line has an address");
        Self { child, address: address.parse().expect("the log line has an address") }
    }

    /// Kills the process by SIGKILL, which it can't catch.
    fn kill(self) {
        drop(self);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

/// Sends a request; the caller reads the response later, if at all.
fn send(process: &Process, token: &str, line: &str, headers: &str, body: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(process.address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {token}\r\n");
    write!(stream, "{head}{headers}content-length: {length}\r\n\r\n{body}")?;
    Ok(stream)
}

/// Reads a response and returns its status and body; the status is 0 if the response is missing or cut off.
fn receive(stream: std::io::Result<TcpStream>) -> (u16, String) {
    let mut text = String::new();
    let read = stream.and_then(|mut stream| stream.read_to_string(&mut text));
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).filter(|_| read.is_ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_owned())
}

/// Repeats a request until it gets a response other than 503, which leaves the outcome open.
fn send_until_known(process: &Process, token: &str, line: &str, headers: &str, body: &str) -> (u16, String) {
    for _ in 0..500 {
        match receive(send(process, token, line, headers, body)) {
            (0 | 503, _) => std::thread::sleep(Duration::from_millis(10)),
            answer => return answer,
        }
    }
    panic!("no answer to {line}");
}

#[test]
fn a_killed_host_restarts_with_the_current_catalogue_and_repeats_its_first_answers() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("catalogue.toml"), "[owners.gates]\n").unwrap();
    let mut process = Process::spawn(folder.path());
    let token = std::fs::read_to_string(folder.path().join("data/admin.token")).unwrap().trim().to_owned();
    let mut answers: Vec<(String, String, String, String)> = Vec::new();
    while !send_until_known(&process, &token, "GET /v1/catalogue", "", "").1.contains("\"version\":1") {
        std::thread::sleep(Duration::from_millis(5));
    }
    for (round, delay_ms) in (1..).zip(KILL_DELAYS_MS) {
        let line = format!("PUT /v1/catalogue/e{round}");
        let headers = format!("if-match: \"{round}\"\r\nidempotency-key: change-{round}\r\n");
        let body = format!("{{\"owner\":\"gates\",\"weight\":{round}}}");
        let lost = send(&process, &token, &line, &headers, &body);
        std::thread::sleep(Duration::from_millis(delay_ms));
        process.kill();
        drop(lost);
        process = Process::spawn(folder.path());
        let (status, first) = send_until_known(&process, &token, &line, &headers, &body);
        assert_eq!(status, 200, "round {round}: {first}");
        assert!(first.contains(&format!("\"version\":{}", round + 1)), "round {round}: {first}");
        answers.push((line, headers, body, first));
        for (line, headers, body, first) in &answers {
            assert_eq!(
                send_until_known(&process, &token, line, headers, body),
                (200, first.clone()),
                "{line} after {round} kills"
            );
        }
        let catalogue = send_until_known(&process, &token, "GET /v1/catalogue", "", "").1;
        assert!(catalogue.starts_with(&format!("{{\"version\":{},", round + 1)), "round {round}: {catalogue}");
    }
    let trail = send_until_known(&process, &token, "GET /v1/audit", "", "").1;
    let export = mangogw_catalogue::verify_export(&trail).expect("the audit export verifies");
    assert_eq!(
        export.last_seq,
        2 + KILL_DELAYS_MS.len() as u64,
        "one token, one set and one record for each change:\n{trail}"
    );
    process.kill();
}
