//! `streamfold order`: sends a request that runs at most once, under an idempotency key or a ticket.

use std::process::ExitCode;

use http::Method;
use serde::Deserialize;
use serde_json::Value;
use streamfold_model::answer::{HEADER_DEADLINE, HEADER_KEY};

use crate::args::Order;
use crate::client::NodeCall;
use crate::error::CliError;
use crate::util::print_json;

#[derive(Deserialize)]
struct MintedTickets {
    tickets: Vec<String>,
}

impl Order {
    /// Sends the order under the given key or, without one, under a ticket that it requests from the node first.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        let authorization = format!("Bearer {}", self.token);
        let key = match &self.key {
            Some(key) => key.clone(),
            None => self.fetch_ticket(&authorization).await?,
        };
        // Printed before the order is sent, so that the order can be repeated under the same key if the answer is lost.
        eprintln!("key: {key}");
        let deadline = self.deadline.map(|duration| duration.0.as_millis().to_string());
        let mut headers = vec![("authorization", authorization.as_str()), (HEADER_KEY, key.as_str())];
        headers.extend(deadline.as_deref().map(|millis| (HEADER_DEADLINE, millis)));
        let call = NodeCall {
            address: self.callers,
            method: Method::POST,
            path: format!("/v1/indexes/{}/order", self.index),
            headers,
            body: self.body.clone().into_bytes(),
        };
        let answer: Value = call.send_for_json().await?;
        if self.json {
            print_json(&answer)?;
        } else {
            println!("{}", answer["result"]);
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn fetch_ticket(&self, authorization: &str) -> Result<String, CliError> {
        let call = NodeCall {
            address: self.callers,
            method: Method::POST,
            path: "/v1/tickets".to_owned(),
            headers: vec![("authorization", authorization)],
            body: Vec::new(),
        };
        let minted: MintedTickets = call.send_for_json().await?;
        minted.tickets.into_iter().next().ok_or(CliError::BadAnswer { address: self.callers, status: 200 })
    }
}
