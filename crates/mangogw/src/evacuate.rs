//! `mangogw evacuate`: orders the evacuation of an availability zone, takes it back, and lists the evacuated zones.

use crate::client::{BadCall, Client};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of attempts to send an order while the host can't carry it out or its outcome is unknown.
const MAX_TRIES: u32 = 8;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Path of the evacuations on the control address of a host.
const PATH: &str = "/v1/evacuations";

/// Returns method and path of the request for the words of the command; `None` for other words.
///
/// ```
/// use http::Method;
/// use mangogw::evacuate::request_of;
/// assert_eq!(request_of(&["list"]), Some((Method::GET, "/v1/evacuations".to_owned())));
/// assert_eq!(request_of(&["start", "a"]), Some((Method::POST, "/v1/evacuations/a/start".to_owned())));
/// assert_eq!(request_of(&["start"]), None);
/// ```
pub fn request_of(words: &[&str]) -> Option<(Method, String)> {
    match words {
        ["list"] => Some((Method::GET, PATH.to_owned())),
        [action @ ("start" | "finish"), zone] if !zone.is_empty() && !zone.contains('/') => {
            Some((Method::POST, format!("{PATH}/{zone}/{action}")))
        }
        _ => None,
    }
}

/// Sends the request and prints the answer. An order has the same effect however often it is sent, so it is sent again
/// while the host answers 5xx. Fails if the last answer is not 2xx.
///
/// # Errors
/// [`BadCall`] if the host does not answer.
pub async fn run(host: SocketAddr, (method, path): (Method, String)) -> Result<ExitCode, BadCall> {
    let client = Client::default();
    for _ in 1..MAX_TRIES {
        let response = client.call(host, method.clone(), &path, &[], Bytes::new()).await?;
        if response.status < 500 {
            return Ok(print(response.status, &response.body));
        }
        log::warn!(status = response.status; "evacuate: not done or not known, trying again");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let response = client.call(host, method, &path, &[], Bytes::new()).await?;
    Ok(print(response.status, &response.body))
}

fn print(status: u16, body: &[u8]) -> ExitCode {
    println!("{status} {}", String::from_utf8_lossy(body));
    if (200..300).contains(&status) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
