//! Helpers of the subcommands: reading configuration files and printing JSON.

use std::path::{Path, PathBuf};

use serde::Serialize;
use streamfold_model::SourceFile;

use crate::error::CliError;

fn read_error(path: &Path) -> impl Fn(std::io::Error) -> CliError {
    let path = path.to_owned();
    move |source| CliError::Read { path: path.clone(), source }
}

/// Reads configuration files. A directory stands for the `.yaml` files directly in it, sorted by name.
///
/// # Errors
/// A file or directory cannot be read, or a directory has no `.yaml` files.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<SourceFile>, CliError> {
    let mut files = Vec::new();
    for path in paths {
        let files_of_path = if path.is_dir() { list_yaml_files(path)? } else { vec![path.clone()] };
        for path in files_of_path {
            let text = std::fs::read_to_string(&path).map_err(read_error(&path))?;
            // A file is identified by its name without the directory, so that the same files in another checkout are
            // not a change of the configuration.
            let name = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
            files.push(SourceFile { name, text });
        }
    }
    Ok(files)
}

fn list_yaml_files(directory: &Path) -> Result<Vec<PathBuf>, CliError> {
    let entries = std::fs::read_dir(directory).map_err(read_error(directory))?;
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut yaml_files: Vec<PathBuf> =
        paths.filter(|path| path.extension().is_some_and(|extension| extension == "yaml")).collect();
    yaml_files.sort();
    if yaml_files.is_empty() {
        return Err(CliError::NoFiles(directory.to_owned()));
    }
    Ok(yaml_files)
}

/// Prints data as indented JSON to the standard output.
pub fn print_json<T: Serialize>(data: &T) -> Result<(), CliError> {
    println!("{}", serde_json::to_string_pretty(data)?);
    Ok(())
}
