//! A minimal HTTP/1.1 server and client over blocking sockets, and readers for the fields of flat JSON bodies.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request that a stand-in has received.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length").and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let path = words.nth(1).unwrap_or_default().to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { path, headers, body }))
}

/// Writes a response with a JSON body.
pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Answer to a call of a client, an executor or the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Status(u16, String),
    /// No response came: the channel broke, or the time was over.
    None,
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Status(status, _) => *status,
            Self::None => 0,
        }
    }
}

/// Makes one call on a channel of its own.
pub fn call(to: SocketAddr, method: &str, host: &str, path: &str, extra: &str, body: &str, limit: Duration) -> Answer {
    let exchange = || -> io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader)? else { return Ok(Answer::None) };
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok(Answer::Status(status, read_body(&mut reader, &headers)?))
    };
    exchange().unwrap_or(Answer::None)
}

/// Returns the text of a field of a flat JSON object.
pub fn text_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":\"");
    let start = body.find(&key)? + key.len();
    Some(&body[start..start + body[start..].find('"')?])
}

/// Returns the whole number in a field of a flat JSON object.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let key = format!("\"{name}\":");
    let start = body.find(&key)? + key.len();
    let digits: String = body[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
