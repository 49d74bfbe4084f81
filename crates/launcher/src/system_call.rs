//! The system calls of the launcher, made without the C library, which this program does not load.

use core::ffi::CStr;
use core::mem::MaybeUninit;
use core::slice;

use crate::architecture::{self, SYS_EXECVE, SYS_EXIT_GROUP, SYS_RT_SIGACTION, SYS_WRITE};

const SIGHUP: usize = 1;
const SIG_IGN: usize = 1;
const STANDARD_ERROR: usize = 2;

/// An error number of the system.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ErrorNumber(usize);

impl ErrorNumber {
    /// The file does not exist.
    pub const NOT_FOUND: Self = Self(2);
    /// The file may not be used in this way.
    pub const NOT_PERMITTED: Self = Self(13);
    /// The path is too long.
    pub const NAME_TOO_LONG: Self = Self(36);

    /// The number in three decimal digits. The system has no larger one.
    pub fn digits(self) -> [u8; 3] {
        [self.0 / 100, self.0 / 10, self.0].map(|digits| b'0' + (digits % 10) as u8)
    }
}

/// Strings that the system has passed to this program: an array of pointers that ends with a null pointer.
#[derive(Clone, Copy)]
pub struct StringArray(*const usize);

impl StringArray {
    /// Takes the address of the first pointer.
    ///
    /// # Safety
    /// It must be the address of such an array, which lives as long as the program.
    pub unsafe fn new(first: *const usize) -> Self {
        Self(first)
    }
}

/// What the kernel does on a signal: its `struct sigaction`.
#[repr(C)]
struct SignalAction {
    handler: usize,
    flags: usize,
    restorer: usize,
    mask: u64,
}

/// Makes a system call.
///
/// # Safety
/// The arguments must be valid for the call. Those that it does not have are zero.
unsafe fn call(number: usize, arguments: [usize; 4]) -> Result<usize, ErrorNumber> {
    // SAFETY: the caller of this function sees to it.
    let result = unsafe { architecture::call(number, arguments) };
    if result < 0 { Err(ErrorNumber(result.unsigned_abs())) } else { Ok(result.unsigned_abs()) }
}

/// Ignores SIGHUP in this program and in the one that replaces it.
///
/// # Errors
/// The system refuses it.
pub fn ignore_hangups() -> Result<(), ErrorNumber> {
    let action = SignalAction { handler: SIG_IGN, flags: 0, restorer: 0, mask: 0 };
    let arguments = [SIGHUP, (&raw const action).expose_provenance(), 0, size_of_val(&action.mask)];
    // SAFETY: the action outlives the call, the null pointer asks for no former action, and the size is that of the mask.
    unsafe { call(SYS_RT_SIGACTION, arguments) }.map(drop)
}

/// Reads a symbolic link into the buffer, and returns its bytes. A longer link is cut to the length of the buffer.
///
/// # Errors
/// The link cannot be read.
pub fn read_link<'a>(link: &CStr, buffer: &'a mut [MaybeUninit<u8>]) -> Result<&'a [u8], ErrorNumber> {
    let (link, start) = (link.as_ptr().expose_provenance(), buffer.as_mut_ptr().expose_provenance());
    let (number, arguments) = architecture::reading_of_link(link, start, buffer.len());
    // SAFETY: the link ends with a zero byte, and the kernel writes no more than the length of the buffer.
    let length = unsafe { call(number, arguments) }?;
    // SAFETY: the kernel has written these bytes.
    Ok(unsafe { slice::from_raw_parts(buffer.as_ptr().cast(), length) })
}

/// Replaces the program of this process. Returns only if that fails.
pub fn replace_program(path: &CStr, arguments: StringArray, environment: StringArray) -> ErrorNumber {
    let StringArray(arguments) = arguments;
    let StringArray(environment) = environment;
    let arguments =
        [path.as_ptr().expose_provenance(), arguments.expose_provenance(), environment.expose_provenance(), 0];
    // SAFETY: the path ends with a zero byte, and the arrays are ones that the system has passed itself.
    match unsafe { call(SYS_EXECVE, arguments) } {
        Ok(number) => ErrorNumber(number),
        Err(error) => error,
    }
}

/// Writes to standard error. If that fails, the error cannot be reported anywhere.
pub fn write_error(text: &[u8]) {
    // SAFETY: the text outlives the call.
    let _ = unsafe { call(SYS_WRITE, [STANDARD_ERROR, text.as_ptr().expose_provenance(), text.len(), 0]) };
}

/// Ends the process.
pub fn exit(code: u8) -> ! {
    loop {
        // SAFETY: the argument is a number.
        let _ = unsafe { call(SYS_EXIT_GROUP, [code.into(), 0, 0, 0]) };
    }
}
