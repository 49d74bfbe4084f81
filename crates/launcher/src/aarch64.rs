//! What is particular to 64-bit Arm: where the system starts the program, and how it is called.

use core::arch::{asm, global_asm};

use crate::entry::start;

pub const SYS_WRITE: usize = 64;
pub const SYS_RT_SIGACTION: usize = 134;
pub const SYS_EXECVE: usize = 221;
pub const SYS_EXIT_GROUP: usize = 94;
const SYS_READLINKAT: usize = 78;

/// In place of an open directory: relative paths are relative to the working directory (AT_FDCWD, -100).
const WORKING_DIRECTORY: usize = 100_usize.wrapping_neg();

// The system starts the program here. The stack pointer is the only input, and there is nothing to return to.
global_asm!(
    ".globl _start",
    "_start:",
    "mov x0, sp",
    "bl {start}",
    start = sym start,
);

/// The number and the arguments of the call that reads a symbolic link. This system has only the one with a directory.
pub fn reading_of_link(link: usize, buffer: usize, length: usize) -> (usize, [usize; 4]) {
    (SYS_READLINKAT, [WORKING_DIRECTORY, link, buffer, length])
}

/// Makes a system call and returns what the kernel does: a number below zero is an error's, negated.
///
/// # Safety
/// The arguments must be valid for the call. Those that it does not have are zero.
pub unsafe fn call(number: usize, arguments: [usize; 4]) -> isize {
    let [first, second, third, fourth] = arguments;
    let result;
    // SAFETY: the kernel changes no register but the first, and memory only as the caller of this function allows.
    unsafe {
        asm!(
            "svc 0",
            in("x8") number,
            inlateout("x0") first => result,
            in("x1") second,
            in("x2") third,
            in("x3") fourth,
            options(nostack),
        );
    }
    result
}
