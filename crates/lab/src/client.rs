//! A caller's HTTP client for the lab.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Why a call had no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] http::Error),
    /// The exchange failed.
    #[error("exchange: {0}")]
    Exchange(String),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An error with everything that led to it: the first alone does not tell a reset from a close.
fn name_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// A client that keeps connections.
#[derive(Clone)]
pub struct LabClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LabClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A request that failed is never sent again behind the caller's back.
        let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

impl LabClient {
    /// Makes one call.
    ///
    /// # Errors
    /// There was no whole answer in time.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        wait: Duration,
    ) -> Result<CallAnswer, CallError> {
        let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body))?;
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|error| CallError::Exchange(name_causes(&error)))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| CallError::Exchange(name_causes(&error)))?;
            Ok(CallAnswer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
        };
        tokio::time::timeout(wait, exchange).await.unwrap_or(Err(CallError::TimedOut))
    }
}
