//! `streamfoldd`: the program that operators start. It becomes the node's program; see `streamfold_launcher`.
#![cfg_attr(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")), no_main)]

#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
use streamfold_launcher as _;

#[cfg(not(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64"))))]
fn main() -> std::process::ExitCode {
    streamfold_launcher::start_node()
}
