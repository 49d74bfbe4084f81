//! `streamfold audit`: lists the changes of the configuration with their operator, time and reason.

use std::process::ExitCode;

use streamfold_model::{ConfigBundle, HeadRecord};

use crate::args::Audit;
use crate::client::NodeCall;
use crate::error::CliError;
use crate::util::print_json;

impl Audit {
    /// Lists the newest changes or, with `--print`, prints the files of one version.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        if let Some(version) = self.print {
            let path = format!("/v1/config?version={version}");
            let bundle = NodeCall::get(self.operators, &path).send_for_json::<ConfigBundle>().await?;
            return self.print_files(&bundle);
        }
        let path = format!("/v1/audit?limit={}", self.limit);
        let records = NodeCall::get(self.operators, &path).send_for_json::<Vec<HeadRecord>>().await?;
        if self.json {
            print_json(&records)?;
            return Ok(ExitCode::SUCCESS);
        }
        println!("{:>8}  {:<20} {:<16} {:<16} reason", "version", "time (UTC)", "operator", "through");
        for record in &records {
            let (time, operator, node) = (format_time(record.time_ms), &record.operator, &record.node);
            println!("{:>8}  {time:<20} {operator:<16} {node:<16} {}", record.version.0, record.reason);
        }
        Ok(ExitCode::SUCCESS)
    }

    fn print_files(&self, bundle: &ConfigBundle) -> Result<ExitCode, CliError> {
        if self.json {
            print_json(bundle)?;
            return Ok(ExitCode::SUCCESS);
        }
        for file in &bundle.files {
            println!("# {}", file.name);
            print!("{}", file.text);
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Formats milliseconds since 1970 (the Unix epoch) as an RFC 3339 time in UTC, to the second.
fn format_time(time_ms: u64) -> String {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(time_ms);
    humantime::format_rfc3339_seconds(time).to_string()
}
