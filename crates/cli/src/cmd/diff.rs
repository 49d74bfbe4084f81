//! `streamfold diff`: shows how files differ from the configuration in force or from another version.

use std::process::ExitCode;

use similar::TextDiff;
use streamfold_model::{ConfigBundle, SourceFile};

use crate::args::Diff;
use crate::client::NodeCall;
use crate::error::CliError;
use crate::util::read_files;

/// Unchanged lines shown before and after each change.
const CONTEXT_LINES: usize = 3;

impl Diff {
    /// Prints a unified diff. The exit code is 0 whether or not there are differences.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        let files = read_files(&self.files)?;
        let path = self.version.map_or("/v1/config".to_owned(), |version| format!("/v1/config?version={version}"));
        let in_force = match NodeCall::get(self.operators, &path).send_for_json::<ConfigBundle>().await {
            Ok(bundle) => bundle.files,
            Err(CliError::Problem(problem)) if problem.kind == "no-configuration" => Vec::new(),
            Err(error) => return Err(error),
        };
        let text = diff_files(&in_force, &files);
        print!("{text}");
        if text.is_empty() {
            println!("no differences");
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn find_text<'a>(files: &'a [SourceFile], name: &str) -> &'a str {
    files.iter().find(|file| file.name == name).map_or("", |file| &file.text)
}

fn diff_files(old: &[SourceFile], new: &[SourceFile]) -> String {
    let mut names: Vec<&str> = old.iter().chain(new).map(|file| file.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let diffs = names.iter().map(|name| {
        let diff = TextDiff::from_lines(find_text(old, name), find_text(new, name));
        let header = (format!("in force: {name}"), format!("new: {name}"));
        diff.unified_diff().context_radius(CONTEXT_LINES).header(&header.0, &header.1).to_string()
    });
    diffs.collect()
}
