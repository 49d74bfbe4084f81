//! HTTP client for the callers' and operators' ports of a node.

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

/// Time limit of a call, from connecting to the end of the answer's body.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The longest body of an answer, in bytes: the files of a configuration as JSON, and the answers of every shard.
const MAX_ANSWER_LEN: usize = 128 << 20;

/// A request to one port of a node.
pub struct NodeCall<'a> {
    /// The address of the port.
    pub address: SocketAddr,
    pub method: Method,
    /// The path with its query parameters.
    pub path: String,
    /// Headers to add.
    pub headers: Vec<(&'static str, &'a str)>,
    /// The body; may be empty.
    pub body: Vec<u8>,
}

impl NodeCall<'_> {
    /// A `GET` request without headers or body.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self { address, method: Method::GET, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
    }

    /// Sends the request and returns the body of an answer with a 2xx status.
    ///
    /// # Errors
    /// `Problem` if the node refused the request, `Unreachable` if nothing was sent, `AnswerLost` if the outcome is
    /// unknown, `AnswerTooLong` for an answer beyond its limit, `BadAnswer` for an error status whose body is not a problem document, and `Request` if the request
    /// cannot be built.
    pub async fn send(self) -> Result<Bytes, CliError> {
        let address = self.address;
        let answer_lost = |_| CliError::AnswerLost { address };
        let exchange = tokio::time::timeout(TIMEOUT, self.exchange()).await;
        let (status, body) = exchange.map_err(answer_lost)??;
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
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| CliError::AnswerLost { address })?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > MAX_ANSWER_LEN {
                return Err(CliError::AnswerTooLong { address });
            }
            bytes.extend_from_slice(&data);
        }
        Ok((status, Bytes::from(bytes)))
    }

    /// Sends the request and decodes the body of the answer as JSON.
    ///
    /// # Errors
    /// Those of [`NodeCall::send`], and `BadAnswer` if the body is not of the expected form.
    pub async fn send_for_json<T: DeserializeOwned>(self) -> Result<T, CliError> {
        let address = self.address;
        let body = self.send().await?;
        serde_json::from_slice(&body).map_err(|_| CliError::BadAnswer { address, status: 200 })
    }
}
