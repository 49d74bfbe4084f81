//! HTTP client with which the lab calls nodes, servers and the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Error of a call that got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be built.
    #[error("building the request: {0}")]
    Request(#[from] http::Error),
    /// Connecting, sending or receiving failed.
    #[error("HTTP exchange: {0}")]
    Exchange(String),
    /// The response was not complete before the timeout.
    #[error("no complete response before the timeout")]
    TimedOut,
}

/// HTTP response with its whole body.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, read to its end.
    pub body: Bytes,
}

/// Formats an error with all its sources; the outermost error alone does not tell a reset connection from a closed one.
fn format_error(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// HTTP client that keeps idle connections for reuse.
#[derive(Clone)]
pub struct LabClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LabClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The client must not resend a failed request by itself: the lab counts each request it sends.
        let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

impl LabClient {
    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    /// The request is invalid, the exchange failed or the response was not complete before `timeout`.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallAnswer, CallError> {
        let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body))?;
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|error| CallError::Exchange(format_error(&error)))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| CallError::Exchange(format_error(&error)))?;
            Ok(CallAnswer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::TimedOut))
    }
}
