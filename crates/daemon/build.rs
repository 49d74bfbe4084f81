//! Links `streamfoldd` by the linker script of the launcher on the system for which the launcher has an entry of its own.

use std::env;
use std::path::Path;

/// Arguments of the C compiler, which calls the linker: no start code of the C library, a fixed address, which needs no
/// relocation when the program starts, and no dynamic linker.
const LINK_ARGUMENTS: [&str; 3] = ["-nostartfiles", "-no-pie", "-Wl,--no-dynamic-linker"];
/// The linker script, relative to this package.
const LINKER_SCRIPT: &str = "../launcher/streamfoldd.ld";

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    println!("cargo::rerun-if-changed={LINKER_SCRIPT}");
    if !is_set("CARGO_CFG_TARGET_OS", "linux") || !is_set("CARGO_CFG_TARGET_ARCH", "x86_64") {
        return;
    }
    for argument in LINK_ARGUMENTS {
        println!("cargo::rustc-link-arg-bin=streamfoldd={argument}");
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(LINKER_SCRIPT);
    println!("cargo::rustc-link-arg-bin=streamfoldd=-Wl,-T,{}", script.display());
}

fn is_set(variable: &str, value: &str) -> bool {
    env::var(variable).is_ok_and(|found| found == value)
}
