//! Service that each client connection runs: limits the open requests, calls the API and counts responses.

use crate::api::{self, Api};
use crate::meters;
use crate::operate::ClientAddress;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use mangogw_host::Refused;
use mangogw_model::Code;
use mangogw_wire::header;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::Semaphore;
use tower::Service;

/// HTTP service of a client connection.
#[derive(Debug, Clone)]
pub struct Pipeline {
    api: Api,
    permits: Arc<Semaphore>,
    peer: Option<ClientAddress>,
}

impl Pipeline {
    /// Returns a pipeline that refuses requests while `max_requests` are open.
    pub fn new(api: Api, max_requests: usize) -> Self {
        Self { api, permits: Arc::new(Semaphore::new(max_requests)), peer: None }
    }

    /// Returns this pipeline for a connection from the client address `peer`; both share one limit.
    #[must_use]
    pub fn for_peer(&self, peer: SocketAddr) -> Self {
        Self { peer: Some(ClientAddress(peer)), ..self.clone() }
    }
}

impl Service<Request<Incoming>> for Pipeline {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut req: Request<Incoming>) -> Self::Future {
        if let Some(peer) = self.peer {
            req.extensions_mut().insert(peer);
        }
        let api = self.api.clone();
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        Box::pin(async move {
            let (version, code) = (req.version(), overload(&req));
            let mut response = match &permit {
                Ok(_held) => api.handle(req).await,
                Err(_full) => api::refusal(&Refused::new(code, "too many open requests")),
            };
            count(&response);
            // Makes HTTP/1 clients reconnect elsewhere before the listener closes.
            if api.node.is_closing() && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop(permit);
            Ok(response)
        })
    }
}

/// Returns the code with which a host at its limit refuses. For a request with a key the host can't tell whether the
/// submission ran before.
fn overload(request: &Request<Incoming>) -> Code {
    let keyed = request.headers().contains_key(header::KEY) || request.uri().path().starts_with("/v1/jobs");
    if keyed { Code::HomeUnknown } else { Code::Overloaded }
}

fn count(response: &Response<Full<Bytes>>) {
    let code = response.headers().get(header::CODE).and_then(|value| value.to_str().ok());
    if let Some(code) = code.and_then(|text| text.parse().ok()) {
        meters::count_response(code);
    }
}
