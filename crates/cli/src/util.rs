//! Reading files and writing JSON.

use std::path::{Path, PathBuf};

use serde::Serialize;
use streamfold_model::SourceFile;

use crate::error::CliError;

fn failed(path: &Path) -> impl Fn(std::io::Error) -> CliError {
    let path = path.to_owned();
    move |source| CliError::Read { path: path.clone(), source }
}

/// Reads configuration files; a folder stands for the `.yaml` files in it, by name.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<SourceFile>, CliError> {
    let mut files = Vec::new();
    for path in paths {
        let found = if path.is_dir() { list_folder(path)? } else { vec![path.clone()] };
        for path in found {
            let text = std::fs::read_to_string(&path).map_err(failed(&path))?;
            // Files are known by their bare names, so that a checkout elsewhere is no change.
            let name = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
            files.push(SourceFile { name, text });
        }
    }
    Ok(files)
}

fn list_folder(folder: &Path) -> Result<Vec<PathBuf>, CliError> {
    let entries = std::fs::read_dir(folder).map_err(failed(folder))?;
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut found: Vec<PathBuf> = paths.filter(|path| path.extension().is_some_and(|end| end == "yaml")).collect();
    found.sort();
    if found.is_empty() {
        return Err(CliError::NoFiles(folder.to_owned()));
    }
    Ok(found)
}

/// Prints data as JSON.
pub fn print_json<T: Serialize>(data: &T) -> Result<(), CliError> {
    println!("{}", serde_json::to_string_pretty(data)?);
    Ok(())
}
