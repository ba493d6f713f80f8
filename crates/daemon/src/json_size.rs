//! Estimates how much memory a JSON body takes once it is parsed.

/// An object: the largest type that one is parsed into, twice, since lists double as they grow.
const OBJECT_BYTES: usize = 512;
/// An array, such as a row of a report, twice.
const ARRAY_BYTES: usize = 192;
/// An element of a list: a text with its allocation, twice.
const ELEMENT_BYTES: usize = 64;
/// A field of an object: the allocation of its text.
const FIELD_BYTES: usize = 32;

/// Upper estimate of the memory that `body` takes once it is parsed, in bytes, without the body.
///
/// A body with few bytes for each element takes many times its size.
pub(crate) fn parsed_bytes(body: &[u8]) -> usize {
    let (mut in_text, mut escaped) = (false, false);
    // One bit for each open object or array, the innermost lowest, set for objects. Bodies that
    // are nested more deeply are not parsed.
    let mut open: u128 = 0;
    // Texts are copied.
    let mut bytes = body.len();
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_text,
            b'"' => in_text = !in_text,
            _ if in_text => {}
            b'{' => {
                open = open << 1 | 1;
                bytes += OBJECT_BYTES;
            }
            b'[' => {
                open <<= 1;
                bytes += ARRAY_BYTES;
            }
            b'}' | b']' => open >>= 1,
            b',' => bytes += if open & 1 == 1 { FIELD_BYTES } else { ELEMENT_BYTES },
            _ => {}
        }
    }
    bytes
}
