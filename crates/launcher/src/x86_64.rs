//! What is particular to x86-64: where the system starts the program, and how it is called.

use core::arch::{asm, global_asm};

use crate::entry::start;

pub const SYS_WRITE: usize = 1;
pub const SYS_RT_SIGACTION: usize = 13;
pub const SYS_EXECVE: usize = 59;
pub const SYS_EXIT_GROUP: usize = 231;
const SYS_READLINK: usize = 89;

// The system starts the program here. The stack pointer is the only input, and there is nothing to return to.
global_asm!(
    ".globl _start",
    "_start:",
    "mov rdi, rsp",
    "and rsp, -16",
    "call {start}",
    start = sym start,
);

/// The number and the arguments of the call that reads a symbolic link.
pub fn reading_of_link(link: usize, buffer: usize, length: usize) -> (usize, [usize; 4]) {
    (SYS_READLINK, [link, buffer, length, 0])
}

/// Makes a system call and returns what the kernel does: a number below zero is an error's, negated.
///
/// # Safety
/// The arguments must be valid for the call. Those that it does not have are zero.
pub unsafe fn call(number: usize, arguments: [usize; 4]) -> isize {
    let [first, second, third, fourth] = arguments;
    let result;
    // SAFETY: the kernel changes no registers but these, and memory only as the caller of this function allows.
    unsafe {
        asm!(
            "syscall",
            inlateout("rax") number => result,
            in("rdi") first,
            in("rsi") second,
            in("rdx") third,
            in("r10") fourth,
            lateout("rcx") _,
            lateout("r11") _,
            options(nostack),
        );
    }
    result
}
