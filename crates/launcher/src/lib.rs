//! The code of `streamfoldd`, the program that operators start. It ignores SIGHUP, then replaces itself by the node's
//! program `streamfoldd-node` in its own directory, with the same process id, arguments and environment.
//!
//! An operator may send SIGHUP to reload the settings of a node that was started a moment ago, and by default that signal
//! ends a process. A program that is linked to the C library can change this only after the dynamic linker has loaded it,
//! which takes a millisecond, or tens of them on a busy machine. On x86-64 and arm64 Linux this program therefore has an
//! entry of its own, which needs neither a linker nor a library and ignores the signal in its first instructions. The
//! node's program inherits that and handles the signal once it runs. On other systems this program only starts the node's
//! program, and a SIGHUP may end the process until that handles it.
#![cfg_attr(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")), no_std)]

#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
#[cfg_attr(target_arch = "x86_64", path = "x86_64.rs")]
#[cfg_attr(target_arch = "aarch64", path = "aarch64.rs")]
mod architecture;
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod entry;
#[cfg(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64")))]
mod system_call;

#[cfg(not(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64"))))]
mod portable;
#[cfg(not(all(target_os = "linux", any(target_arch = "x86_64", target_arch = "aarch64"))))]
pub use portable::start_node;

/// Exit code if the node's program does not exist. Shells use the same.
const EXIT_NOT_FOUND: u8 = 127;
/// Exit code if the node's program cannot be started for another reason. Shells use the same.
const EXIT_NOT_STARTED: u8 = 126;
