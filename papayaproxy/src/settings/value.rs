//! Parsers of single values.

use crate::base::name::{Name, is_name};
use std::time::Duration;

/// Parses a duration with its unit, such as `250ms` or `30s`.
///
/// # Errors
/// Returns a description of the expected value.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|_| "a duration with its unit, such as 250ms".into())
}

/// Parses a valid name.
///
/// # Errors
/// Returns a description of the expected value.
pub fn parse_name(text: &str) -> Result<Name, String> {
    if is_name(text) {
        return Ok(text.into());
    }
    Err("a name of 1 to 64 lower-case letters, digits, '-', '_' or '.'".into())
}

/// Parses a size in bytes, with an optional unit of `KiB`, `MiB` or `GiB`.
///
/// # Errors
/// Returns a description of the expected value.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == ' ');
    let factor = match text[digits.len()..].trim() {
        "" | "B" => Some(1),
        "KiB" => Some(1 << 10),
        "MiB" => Some(1 << 20),
        "GiB" => Some(1 << 30),
        _ => None,
    };
    let number: Option<u64> = digits.parse().ok();
    let size = number.zip(factor).and_then(|(n, f)| n.checked_mul(f));
    size.ok_or_else(|| "a size in bytes, such as 4096, 64KiB or 1MiB".into())
}
