//! Just enough JSON for the store stand-in: finds fields of an object without decoding their values.

/// Returns the raw text of a field of a JSON object; `None` if it is missing or the text is no object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = end;
    }
}

/// Removes the quotes of a JSON string without escapes.
pub fn text(value: &str) -> Option<&str> {
    value.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position behind the value that starts at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
                continue;
            }
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' | b':' | b' ' | b'\n' | b'\r' | b'\t' => {
                at += 1;
                continue;
            }
            _ => {
                while bytes.get(at).is_some_and(|byte| !b",:]} \n\r\t".contains(byte)) {
                    at += 1;
                }
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}
