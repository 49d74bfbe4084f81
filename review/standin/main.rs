//! Runs one case of the review: starts the stand-ins and the project's own nodes, sends requests, and judges a rule by
//! what the clients and the servers saw. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod drain;
mod http;
mod json;
mod node;
mod once;
mod quota;
mod random;
mod server;
mod stall;
mod store;

use std::path::PathBuf;

/// What every case gets.
pub struct Setup {
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The folder for the record.
    pub folder: PathBuf,
    /// A temporary folder for settings and logs.
    pub temporary: PathBuf,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("streamfold-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { has_trouble, folder: PathBuf::from(folder), temporary: temporary.clone() };
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "once" => once::run(&setup),
        "quota" => quota::run(&setup),
        "drain" => drain::run(&setup),
        _ => 2,
    });
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(outcome.unwrap_or(2));
}
