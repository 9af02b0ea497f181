//! A small HTTP/1.1 server connection and client, enough for the protocol of the platform.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response: first line, headers in lower case, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn method_and_path(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads messages from one connection; bytes beyond a message are kept for the next.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads one whole message; `None` if the peer has closed the connection before one began.
    pub fn read(&mut self, stream: &mut TcpStream) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill(stream)? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { first_line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            if let Some((key, value)) = line.split_once(':') {
                message.headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = String::from_utf8_lossy(&self.buffer[..length]).into_owned();
        self.buffer.drain(..length);
        Ok(Some(message))
    }

    fn fill(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let left = limit.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    Reader::default().read(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
