//! `streamfold check`: validates configuration files without contacting a node.

use std::process::ExitCode;

use streamfold_model::ConfigVersion;
use streamfold_model::check::check_files;

use crate::args::Check;
use crate::error::{CliError, EXIT_BAD_INPUT};
use crate::util::{print_json, read_files};

impl Check {
    /// Validates the files as one configuration. With `--json`, problems are printed to the standard output and the
    /// exit code is [`EXIT_BAD_INPUT`].
    pub fn run(&self) -> Result<ExitCode, CliError> {
        let files = read_files(&self.files)?;
        let problems: Vec<String> = match check_files(ConfigVersion(0), &files) {
            Ok(_) => Vec::new(),
            Err(errors) => errors.iter().map(ToString::to_string).collect(),
        };
        if self.json {
            print_json(&problems)?;
            return Ok(if problems.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_BAD_INPUT) });
        }
        if !problems.is_empty() {
            return Err(CliError::BadConfiguration(problems));
        }
        println!("{} file(s) are valid as one configuration", files.len());
        Ok(ExitCode::SUCCESS)
    }
}
