//! The entry of the program, and all that it does.

use core::ffi::CStr;
use core::mem::MaybeUninit;
use core::slice;

use crate::system_call::{self, ErrorNumber, StringArray};
use crate::{EXIT_NOT_FOUND, EXIT_NOT_STARTED};

/// A link to the file of the running program.
const OWN_PROGRAM: &CStr = c"/proc/self/exe";
/// File name of the node's program, with a final zero.
const NODE_PROGRAM: [u8; 17] = *b"streamfoldd-node\0";
/// Longest path that the system accepts, with its final zero, in bytes.
const PATH_LIMIT: usize = 4096;

/// Called where the system starts the program. Gets the stack as the system sets it up: the number of arguments, the
/// arguments and a null pointer, the environment and a null pointer.
///
/// # Safety
/// It must be that stack.
// A function of the plain C convention may not unwind, and the code that ensures this is in the standard library.
pub unsafe extern "C-unwind" fn start(stack: *const usize) -> ! {
    // This comes first, since a SIGHUP before it ends the process.
    if let Err(error) = system_call::ignore_hangups() {
        report("ignoring SIGHUP", c"", error);
    }
    // SAFETY: the system sets up the stack as described.
    let (arguments, environment) = unsafe {
        let arguments = stack.add(1);
        (StringArray::new(arguments), StringArray::new(arguments.add(*stack).add(1)))
    };
    become_node(arguments, environment)
}

/// Replaces this program by the node's program, or ends the process if that fails.
// Not inlined: a path is as large as a page, and the entry would get another page of stack before it ignores SIGHUP.
#[inline(never)]
fn become_node(arguments: StringArray, environment: StringArray) -> ! {
    let mut buffer = [const { MaybeUninit::uninit() }; PATH_LIMIT];
    let error = match node_path(&mut buffer) {
        Ok(path) => {
            let error = system_call::replace_program(path, arguments, environment);
            report("starting ", path, error);
            error
        }
        Err(error) => {
            report("finding the directory of this program", c"", error);
            error
        }
    };
    system_call::exit(if error == ErrorNumber::NOT_FOUND { EXIT_NOT_FOUND } else { EXIT_NOT_STARTED })
}

/// Returns the path of the node's program, which is in the directory of this one.
fn node_path(buffer: &mut [MaybeUninit<u8>; PATH_LIMIT]) -> Result<&CStr, ErrorNumber> {
    let own_path = system_call::read_link(OWN_PROGRAM, buffer)?;
    let name_start = own_path.iter().rposition(|byte| *byte == b'/').map_or(0, |slash| slash + 1);
    let name = buffer.get_mut(name_start..).and_then(<[_]>::first_chunk_mut).ok_or(ErrorNumber::NAME_TOO_LONG)?;
    // An array, since the copy of a slice would call the C library.
    *name = NODE_PROGRAM.map(MaybeUninit::new);
    let length = name_start + NODE_PROGRAM.len();
    // SAFETY: the link has filled the bytes of the directory, and those of the name follow with the final zero.
    Ok(unsafe { CStr::from_bytes_with_nul_unchecked(slice::from_raw_parts(buffer.as_ptr().cast(), length)) })
}

/// Writes to standard error what could not be done, and why.
fn report(action: &str, path: &CStr, error: ErrorNumber) {
    let reason = match error {
        ErrorNumber::NOT_FOUND => ": no such file",
        ErrorNumber::NOT_PERMITTED => ": permission denied",
        _ => ": refused by the system",
    };
    system_call::write_error(b"streamfoldd: ");
    system_call::write_error(action.as_bytes());
    system_call::write_error(path.to_bytes());
    system_call::write_error(reason.as_bytes());
    system_call::write_error(b" (os error ");
    system_call::write_error(&error.digits());
    system_call::write_error(b")\n");
}
