//! A small HTTP client for the hosts' interface.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mangogw_wire::header;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;

/// A client of any number of hosts.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Pooled<HttpConnector, Full<Bytes>>,
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A request without a response.
#[derive(Debug, Snafu)]
pub enum BadCall {
    /// The address or a header does not fit.
    #[snafu(display("the request can't be made: {source}"))]
    Request {
        /// What the library said.
        source: http::Error,
    },
    /// The host can't be reached.
    #[snafu(display("{host} gave no answer: {source}"))]
    Send {
        /// The host.
        host: SocketAddr,
        /// What the library said.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut short.
    #[snafu(display("the answer of {host} was cut short: {source}"))]
    Truncated {
        /// The host.
        host: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
}

impl Response {
    /// The outcome header; empty where it is missing.
    pub fn outcome(&self) -> &str {
        self.text(header::OUTCOME)
    }

    /// The code header; 0 where it is missing.
    pub fn code(&self) -> u16 {
        self.text(header::CODE).parse().unwrap_or(0)
    }

    /// The submission header; empty where it is missing.
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
    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    /// [`BadCall`]
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
