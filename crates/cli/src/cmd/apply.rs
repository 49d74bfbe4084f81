//! `streamfold apply`: commits a configuration and can wait until every reachable node uses it.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use http::Method;
use streamfold_model::operator::{ApplyAnswer, ApplyRequest};
use streamfold_model::{ChangeId, ConfigBundle, ConfigVersion, SourceFile};

use crate::args::Apply;
use crate::client::NodeCall;
use crate::cmd::status::{FleetStatus, read_fleet};
use crate::error::{CliError, EXIT_PARTIAL};
use crate::util::{print_json, read_files};

/// Time between two reads of the fleet's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Apply {
    /// Applies the files and, with `--wait`, waits until every reachable node has them in force. The exit code is
    /// [`EXIT_PARTIAL`] if that takes too long or if a node cannot be reached.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        let files = self.load_files().await?;
        let change = self.change.unwrap_or_else(|| ChangeId(rand::random()));
        if !self.json && !self.dry_run {
            println!("change {change}");
        }
        let answer = self.send(files, change).await?;
        let is_everywhere =
            if self.wait && answer.committed { self.wait_in_force(answer.version).await? } else { true };
        if self.json {
            print_json(&answer)?;
        } else if answer.committed {
            println!("version {} is committed", answer.version);
        } else {
            println!("valid; version {} stays in force", answer.version);
        }
        Ok(if is_everywhere { ExitCode::SUCCESS } else { ExitCode::from(EXIT_PARTIAL) })
    }

    async fn load_files(&self) -> Result<Vec<SourceFile>, CliError> {
        match (self.rollback, self.files.is_empty()) {
            (Some(version), true) => {
                let path = format!("/v1/config?version={version}");
                let bundle = NodeCall::get(self.operators, &path).send_for_json::<ConfigBundle>().await?;
                Ok(bundle.files)
            }
            (None, false) => read_files(&self.files),
            _ => Err(CliError::NothingToApply),
        }
    }

    async fn send(&self, files: Vec<SourceFile>, change: ChangeId) -> Result<ApplyAnswer, CliError> {
        let request = ApplyRequest {
            files,
            change,
            expected: self.expected,
            operator: self.operator.clone(),
            reason: self.reason.clone(),
            dry_run: self.dry_run,
        };
        let call = NodeCall {
            address: self.operators,
            method: Method::POST,
            path: "/v1/config".to_owned(),
            headers: vec![("content-type", "application/json")],
            body: serde_json::to_vec(&request)?,
        };
        call.send_for_json().await
    }

    /// Waits until every reachable node has the version in force. False if that takes too long or if a node cannot be
    /// reached.
    async fn wait_in_force(&self, version: ConfigVersion) -> Result<bool, CliError> {
        let start = Instant::now();
        loop {
            let fleet = read_fleet(self.operators).await?;
            if fleet.is_in_force(version) {
                self.print_unreached(&fleet);
                return Ok(fleet.unreached.is_empty());
            }
            if start.elapsed() > self.timeout.0 {
                eprintln!("version {version} is not in force on every node after {}", self.timeout);
                self.print_unreached(&fleet);
                return Ok(false);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn print_unreached(&self, fleet: &FleetStatus) {
        for node in &fleet.unreached {
            eprintln!("not reached: {node}");
        }
    }
}
