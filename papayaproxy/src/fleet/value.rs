//! Parses and formats single values of the fleet document.
//!
//! A parser returns a description of the expected value as its error.

use super::constants::{DEADLINE_MIN, GENERATION_MAX, GROUP_SIZE_MAX, SHARE_MAX};
use super::document::{Fencing, Role, Workspace};
use crate::base::constants::DEADLINE_MAX;
use crate::base::digest::Digest;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, SystemTime};

/// Parses `yes` or `no`.
pub(crate) fn parse_flag(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("'yes' or 'no'".into()),
    }
}

/// Formats a flag as `yes` or `no`.
pub(crate) fn flag(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Parses a whole number within `range`.
pub(crate) fn parse_number<T>(text: &str, range: RangeInclusive<T>) -> Result<T, String>
where
    T: std::str::FromStr + PartialOrd + std::fmt::Display,
{
    let number = text.parse().ok().filter(|n| range.contains(n));
    number.ok_or_else(|| format!("a whole number from {} to {}", range.start(), range.end()))
}

pub(crate) fn parse_generation(text: &str) -> Result<u64, String> {
    parse_number(text, 1..=GENERATION_MAX)
}

/// Parses a number of layers, experts or slots.
pub(crate) fn parse_size(text: &str) -> Result<u16, String> {
    parse_number(text, 1..=GROUP_SIZE_MAX)
}

/// Parses a finite number of at least zero.
pub(crate) fn parse_weight(text: &str) -> Result<f64, String> {
    let weight = text.parse().ok().filter(|w: &f64| w.is_finite() && w.is_sign_positive());
    weight.ok_or_else(|| "a number of at least 0".into())
}

pub(crate) fn parse_digest(text: &str) -> Result<Digest, String> {
    Digest::parse(text).ok_or_else(|| "32 hexadecimal digits".into())
}

pub(crate) fn parse_deadline(text: &str) -> Result<Duration, String> {
    let deadline = humantime::parse_duration(text).ok();
    let fitting = deadline.filter(|d| (DEADLINE_MIN..=DEADLINE_MAX).contains(d));
    fitting.ok_or_else(|| "a duration with its unit from 1ms to 600s".into())
}

pub(crate) fn parse_date(text: &str) -> Result<SystemTime, String> {
    let expected = "an RFC 3339 date in UTC, such as 2026-12-04T06:30:00Z";
    humantime::parse_rfc3339(text).map_err(|_| expected.into())
}

/// Parses the address of an agent; port 0 is invalid.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let address = text.parse().ok().filter(|a: &SocketAddr| a.port() != 0);
    address.ok_or_else(|| "an IP address and port, such as 10.0.0.1:7301".into())
}

pub(crate) fn parse_role(text: &str) -> Result<Role, String> {
    match text {
        "mixed" => Ok(Role::Mixed),
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        _ => Err("'mixed', 'prefill' or 'decode'".into()),
    }
}

pub(crate) fn role(value: Role) -> &'static str {
    match value {
        Role::Mixed => "mixed",
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    }
}

pub(crate) fn parse_fencing(text: &str) -> Result<Fencing, String> {
    match text {
        "checked" => Ok(Fencing::Checked),
        "ignored" => Ok(Fencing::Ignored),
        _ => Err("'checked' or 'ignored'".into()),
    }
}

pub(crate) fn fencing(value: Fencing) -> &'static str {
    match value {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}

/// Parses a workspace: its share and the digest of its credential, separated by a space.
pub(crate) fn parse_workspace(text: &str) -> Result<Workspace, String> {
    let expected = || format!("a share from 1 to {SHARE_MAX} and a credential's digest");
    let (share, credential) = text.split_once(' ').ok_or_else(expected)?;
    let share = parse_number(share, 1..=SHARE_MAX).map_err(|_| expected())?;
    let credential = Digest::parse(credential.trim()).ok_or_else(expected)?;
    Ok(Workspace { credential, share })
}
