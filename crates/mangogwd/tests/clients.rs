//! Clients that don't behave, against a process of the built daemon on loopback, with low limits: it lives, its memory
//! and its descriptors stay below the limits that its flags state, and an ordinary request is answered afterwards.
//!
//! `platform/tests/clients` plays more shapes, on the platform's program.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Limits of the process: `--memory-mb` and `--max-fds`.
const MEMORY_MB: u64 = 96;
const MAX_FDS: usize = 200;
/// Clients of a crowd, and bytes of each of their bodies, which are far below the largest that is legal.
const CLIENTS: usize = 300;
const BODY_BYTES: usize = 512 * 1024;
/// Time that a client has to get rid of what it sends; then it stays as it is.
const SEND_TIMEOUT: Duration = Duration::from_millis(50);
/// Tries, 100 ms apart, until an ordinary request must be answered.
const TRIES: u32 = 300;

/// Daemon that runs as a child process.
struct Daemon {
    child: Child,
    address: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error means that the process has ended before.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Daemon {
    fn spawn(limits: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mangogwd"))
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--log", "info"])
            .args(limits)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program is built");
        let mut lines = BufReader::new(child.stderr.take().expect("the log is piped")).lines();
        let line = lines.find_map(|line| line.ok().filter(|line| line.contains("server: listening")));
        // Reads the rest of the log, so that the daemon never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        let address = line.as_deref().and_then(|line| line.split(" address=").nth(1)?.split(' ').next());
        let address = address.and_then(|address| address.parse().ok()).expect("the log says where the daemon listens");
        Self { child, address }
    }

    fn is_answered(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.starts_with("HTTP/1.1 200"))
        };
        (0..TRIES).any(|_| {
            let answered = ask().unwrap_or(false);
            if !answered {
                std::thread::sleep(Duration::from_millis(100));
            }
            answered
        })
    }

    /// Returns the most memory in bytes, and the open descriptors.
    fn held(&self) -> (u64, usize) {
        let pid = self.child.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the line is there");
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number stands there");
        (kib << 10, fs::read_dir(format!("/proc/{pid}/fd")).expect("the process lives").count())
    }
}

/// Lets a crowd send `request` and stay; checks the process meanwhile and afterwards.
fn play(request: &[u8]) {
    static PLAYING: Mutex<()> = Mutex::new(());
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut daemon = Daemon::spawn(&[format!("--memory-mb={MEMORY_MB}"), format!("--max-fds={MAX_FDS}")]);
    let join = || -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(daemon.address)?;
        stream.set_write_timeout(Some(SEND_TIMEOUT))?;
        // An error means that the daemon reads no more, or has closed the connection.
        drop(stream.write_all(request));
        Ok(stream)
    };
    let mut descriptors = 0;
    let crowd: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let client = join();
            descriptors = daemon.held().1.max(descriptors);
            client
        })
        .collect();
    let during = daemon.is_answered();
    let (memory, open) = daemon.held();
    drop(crowd);
    let after = daemon.is_answered();
    println!("memory {memory}, descriptors {}, during {during}", descriptors.max(open));
    assert!(daemon.child.try_wait().expect("a child can be looked at").is_none(), "the process has ended");
    assert!(memory <= MEMORY_MB << 20, "{memory} bytes of memory");
    assert!(descriptors.max(open) <= MAX_FDS, "{} descriptors", descriptors.max(open));
    assert!(after, "an ordinary request has no answer");
}

fn short_of_its_end(target: &str) -> Vec<u8> {
    let head = format!("POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; BODY_BYTES - 1]].concat()
}

#[test]
fn bodies_short_of_their_end_at_an_entry() {
    play(&short_of_its_end("/v1/run/gate-scan"));
}

#[test]
fn bodies_short_of_their_end_at_the_jobs() {
    play(&short_of_its_end("/v1/jobs"));
}

#[test]
fn bodies_short_of_their_end_without_a_route() {
    play(&short_of_its_end("/none"));
}

#[test]
fn bodies_short_of_their_end_at_the_path_that_says_ready() {
    play(&short_of_its_end("/readyz"));
}

#[test]
fn bodies_in_chunks() {
    let head = b"POST /v1/run/gate-scan HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    play(
        &[head, b"40\r\n".iter().chain(&[b'x'; 64]).chain(b"\r\n").copied().collect::<Vec<_>>().repeat(8192)].concat(),
    );
}

#[test]
fn requests_ahead() {
    play(&b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".repeat(4096));
}

#[test]
fn heads_that_stop_half_way() {
    play(b"GET /metr");
}

#[test]
fn preface_that_stops_half_way() {
    play(b"PRI * HTTP/2.0\r\n");
}
