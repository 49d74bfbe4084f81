//! `streamfold query`: queries an index and prints the results and the coverage of the answer.

use std::process::ExitCode;

use http::Method;
use streamfold_model::QueryAnswer;
use streamfold_model::answer::{HEADER_DEADLINE, HEADER_PREFER};
use streamfold_model::url_text::encode;

use crate::args::Query;
use crate::client::NodeCall;
use crate::error::{CliError, EXIT_PARTIAL};
use crate::util::print_json;

impl Query {
    /// Sends the query. The exit code is [`EXIT_PARTIAL`] if a shard is missing from the answer.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        let authorization = format!("Bearer {}", self.token);
        let deadline = self.deadline.map(|duration| duration.0.as_millis().to_string());
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(deadline.as_deref().map(|millis| (HEADER_DEADLINE, millis)));
        headers.extend(self.prefer.as_deref().map(|preference| (HEADER_PREFER, preference)));
        let shards = self.shards.as_ref().map_or(String::new(), |shards| format!("?shards={}", encode(shards)));
        let call = NodeCall {
            address: self.callers,
            method: Method::POST,
            path: format!("/v1/indexes/{}/query{shards}", self.index),
            headers,
            body: self.body.clone().into_bytes(),
        };
        let answer = call.send_for_json::<QueryAnswer>().await?;
        if self.json {
            print_json(&answer)?;
        } else {
            print_answer(&answer);
        }
        let is_complete = answer.coverage.missing.is_empty();
        Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_PARTIAL) })
    }
}

fn print_answer(answer: &QueryAnswer) {
    for (shard, result) in &answer.results {
        println!("{shard}\t{result}");
    }
    let coverage = &answer.coverage;
    eprintln!(
        "{} of {} shards at index version {}, configuration {}",
        coverage.answered, coverage.shards, answer.index_version, answer.config_version
    );
    for missing in &coverage.missing {
        eprintln!("missing: shard {} ({})", missing.shard, missing.reason);
    }
}
