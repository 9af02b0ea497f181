//! HTTP/1.1 with bodies of a known length: a client that opens a connection for each call, and the server side.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub expected_id: Option<String>,
    pub body: String,
}

/// Sends a request on a connection of its own and returns status and body; `None` for no complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)))).ok()?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length, _) = head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Reads the first line and the headers; returns the line, the length of the body and the intended lifetime.
fn head(reader: &mut impl BufRead) -> Option<(String, usize, Option<String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut expected) = (0, None);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), length, expected));
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-expect-instance" => expected = Some(value.trim().to_owned()),
            _ => {}
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, length, expected_id) = head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, expected_id, body: String::from_utf8_lossy(&body).into_owned() })
}

pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}
