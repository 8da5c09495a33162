//! Decoding of JSON that comes from outside the process: endpoints, clients, discovery, peers, operators' files.
//!
//! The decoders of `simd-json` and `serde_json` call themselves once per level of nesting, the former without any bound.
//! Most threads have small stacks, and an overflow ends the process, so the nesting is checked before anything is decoded.

use serde::de::DeserializeOwned;
use std::fmt;

/// Deepest nesting of arrays and objects that is decoded. The documents of the protocols and files need less than ten.
pub const MAX_NESTING: usize = 32;

/// Why a document was not decoded.
#[derive(Debug)]
pub enum JsonError {
    /// Its arrays and objects are nested more deeply than [`MAX_NESTING`].
    TooDeep,
    /// It is not JSON, or not of the expected form.
    Invalid(String),
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JsonError::TooDeep => write!(f, "nested more than {MAX_NESTING} levels deep"),
            JsonError::Invalid(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for JsonError {}

/// Decodes a document.
pub fn from_slice<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, JsonError> {
    check_nesting(bytes)?;
    serde_json::from_slice(bytes).map_err(|e| JsonError::Invalid(e.to_string()))
}

/// Decodes a document, faster than [`from_slice`] for long ones. The bytes are overwritten.
pub fn from_mut_slice<T: DeserializeOwned>(bytes: &mut [u8]) -> Result<T, JsonError> {
    check_nesting(bytes)?;
    simd_json::serde::from_slice(bytes).map_err(|e| JsonError::Invalid(e.to_string()))
}

/// Refuses documents that are nested too deeply. It counts opening brackets against closing ones outside of strings; whether
/// they match is left to the decoder, which stops at the first that does not.
fn check_nesting(bytes: &[u8]) -> Result<(), JsonError> {
    let (mut depth, mut in_string, mut escaped) = (0usize, false, false);
    for byte in bytes {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return Err(JsonError::TooDeep);
        }
    }
    Ok(())
}
