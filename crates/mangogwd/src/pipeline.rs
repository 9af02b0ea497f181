//! Service that each client connection runs: limits the open requests, calls the API and counts responses.

use crate::api::{self, Api};
use crate::gate::Ticket;
use crate::meters;
use crate::operate::ClientAddress;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use mangogw_host::Refused;
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
    peer: ClientAddress,
    ticket: Arc<Ticket>,
}

impl Pipeline {
    /// Returns the pipeline of the connection of `ticket`, from the client address `peer`. It refuses requests while all
    /// `permits` are taken.
    pub const fn new(api: Api, permits: Arc<Semaphore>, peer: SocketAddr, ticket: Arc<Ticket>) -> Self {
        Self { api, permits, peer: ClientAddress(peer), ticket }
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
        req.extensions_mut().insert(self.peer);
        let (api, ticket) = (self.api.clone(), Arc::clone(&self.ticket));
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        Box::pin(async move {
            let (version, code) = (req.version(), api::overload(req.headers(), req.uri()));
            let mut response = match &permit {
                Ok(_held) => api.handle(&ticket, req).await,
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

fn count(response: &Response<Full<Bytes>>) {
    let code = response.headers().get(header::CODE).and_then(|value| value.to_str().ok());
    if let Some(code) = code.and_then(|text| text.parse().ok()) {
        meters::count_response(code);
    }
}
