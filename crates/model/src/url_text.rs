//! Text in URLs: percent-encoding (RFC 3986, section 2.1), so that a text is read as it was meant.

use std::borrow::Cow;
use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// The characters that are encoded: all but the unreserved ones.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A text as a part of a path or the value of a parameter.
pub fn encode(text: &str) -> impl fmt::Display {
    utf8_percent_encode(text, ENCODED)
}

/// The text of a part of a path or the value of a parameter. Bytes that are not UTF-8 are replaced.
pub fn decode(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}
