//! HTTP to a node's ports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use streamfold_model::ProblemDetails;

use crate::error::CliError;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// One call to a node.
pub struct NodeCall<'a> {
    /// The port.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and parameters.
    pub path: String,
    /// Headers besides.
    pub headers: Vec<(&'static str, &'a str)>,
    /// The body.
    pub body: Vec<u8>,
}

impl NodeCall<'_> {
    /// A read.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self { address, method: Method::GET, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
    }

    /// Makes the call and returns the body of a successful answer.
    pub async fn send(self) -> Result<Bytes, CliError> {
        let address = self.address;
        let lost = |_| CliError::AnswerLost { address };
        let exchange = tokio::time::timeout(TIMEOUT, self.exchange()).await;
        let (status, body) = exchange.map_err(lost)??;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        match serde_json::from_slice::<ProblemDetails>(&body) {
            Ok(problem) => Err(CliError::Problem(Box::new(problem))),
            Err(_) => Err(CliError::BadAnswer { address, status }),
        }
    }

    async fn exchange(self) -> Result<(u16, Bytes), CliError> {
        let address = self.address;
        let mut builder = Request::builder().method(self.method).uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from(self.body)))?;
        let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        let response = client.request(request).await.map_err(|error| match error.is_connect() {
            true => CliError::Unreachable { address },
            false => CliError::AnswerLost { address },
        })?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|_| CliError::AnswerLost { address })?;
        Ok((status, body.to_bytes()))
    }

    /// Makes the call and reads its answer as JSON.
    pub async fn read<T: DeserializeOwned>(self) -> Result<T, CliError> {
        let address = self.address;
        let body = self.send().await?;
        serde_json::from_slice(&body).map_err(|_| CliError::BadAnswer { address, status: 200 })
    }
}
