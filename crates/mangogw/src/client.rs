//! Small HTTP client for the interface of hosts.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mangogw_wire::header;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;

/// HTTP client for any number of hosts, with pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Pooled<HttpConnector, Full<Bytes>>,
}

/// Complete response of a host.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Error of a request that received no complete response.
#[derive(Debug, Snafu)]
pub enum BadCall {
    /// The address, path or a header is not valid.
    #[snafu(display("the request can't be made: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: http::Error,
    },
    /// The host cannot be reached, or the connection ended before the response.
    #[snafu(display("{host} gave no answer: {source}"))]
    Send {
        /// Address of the host.
        host: SocketAddr,
        /// Error of the HTTP library.
        source: hyper_util::client::legacy::Error,
    },
    /// The response ended before its body was complete.
    #[snafu(display("the answer of {host} was cut short: {source}"))]
    Truncated {
        /// Address of the host.
        host: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

impl Response {
    /// Returns the outcome header; empty if it is absent.
    pub fn outcome(&self) -> &str {
        self.text(header::OUTCOME)
    }

    /// Returns the code header; 0 if it is absent or not a number.
    pub fn code(&self) -> u16 {
        self.text(header::CODE).parse().unwrap_or(0)
    }

    /// Returns the submission header; empty if it is absent.
    pub fn submission(&self) -> &str {
        self.text(header::SUBMISSION)
    }

    fn text(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { inner: Pooled::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Client {
    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    /// [`BadCall`] if the request is not valid, the host does not answer, or the response is cut short.
    pub async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response, BadCall> {
        let uri = Uri::builder().scheme("http").authority(host.to_string()).path_and_query(path);
        let mut request = Request::builder().method(method).uri(uri.build().context(RequestSnafu)?);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).context(RequestSnafu)?;
        let response = self.inner.request(request).await.context(SendSnafu { host })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(TruncatedSnafu { host })?.to_bytes();
        Ok(Response { status: head.status.as_u16(), headers: head.headers, body })
    }
}
