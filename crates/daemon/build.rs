//! Links `streamfoldd` by the linker script of the launcher on the systems for which the launcher has an entry of its own.

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Arguments of the C compiler, which calls the linker: no start code of the C library, a fixed address, which needs no
/// relocation when the program starts, and no dynamic linker.
const LINK_ARGUMENTS: [&str; 3] = ["-nostartfiles", "-no-pie", "-Wl,--no-dynamic-linker"];
/// The linker script, relative to this package.
const LINKER_SCRIPT: &str = "../launcher/streamfoldd.ld";
/// What is read before it on arm64.
const ARM64_SCRIPT: &str = "../launcher/aarch64.ld";

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    println!("cargo::rerun-if-changed={LINKER_SCRIPT}");
    println!("cargo::rerun-if-changed={ARM64_SCRIPT}");
    if !is_set("CARGO_CFG_TARGET_OS", "linux") {
        return;
    }
    if is_set("CARGO_CFG_TARGET_ARCH", "x86_64") {
        pass_arguments();
        pass_script(LINKER_SCRIPT);
    } else if is_set("CARGO_CFG_TARGET_ARCH", "aarch64") {
        pass_arguments();
        // The linker of GNU makes dynamic sections and a global offset table for all of the standard library, although the
        // script discards that. Then it fails, and the guards of the script cannot tell what the launcher itself uses.
        pass_argument("-fuse-ld=lld");
        if let Some(linkers) = linkers_of_toolchain() {
            pass_argument(&format!("-B{}", linkers.display()));
        }
        pass_script(ARM64_SCRIPT);
        pass_script(LINKER_SCRIPT);
    }
}

fn pass_arguments() {
    for argument in LINK_ARGUMENTS {
        pass_argument(argument);
    }
}

fn pass_script(script: &str) {
    pass_argument(&format!("-Wl,-T,{}", Path::new(env!("CARGO_MANIFEST_DIR")).join(script).display()));
}

fn pass_argument(argument: &str) {
    println!("cargo::rustc-link-arg-bin=streamfoldd={argument}");
}

/// The folder of the Rust toolchain with its own `ld.lld`. Without one the C compiler looks for that in PATH.
fn linkers_of_toolchain() -> Option<PathBuf> {
    let output = Command::new(env::var_os("RUSTC")?).args(["--print", "sysroot"]).output().ok()?;
    let sysroot = String::from_utf8(output.stdout).ok()?;
    let linkers = Path::new(sysroot.trim_end()).join("lib/rustlib").join(env::var_os("HOST")?).join("bin/gcc-ld");
    linkers.is_dir().then_some(linkers)
}

fn is_set(variable: &str, value: &str) -> bool {
    env::var(variable).is_ok_and(|found| found == value)
}
