//! Authenticates operators and protects forms against cross-site request forgery.

use super::codes;
use super::constants::FORM_AGE_MAX;
use super::error::PageError;
use crate::base::digest::Digest;
use crate::base::name::Name;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HOST, ORIGIN};
use indexmap::IndexMap;
use std::time::Duration;

/// Length of the key that signs form tokens, in bytes.
pub(crate) const KEY_BYTES: usize = 32;

/// Checks operators' credentials and form tokens.
pub(crate) struct Guard {
    operators: IndexMap<Name, Digest>,
    key: [u8; KEY_BYTES],
}

impl Guard {
    /// Creates a guard that signs form tokens with `key`, which should be random.
    pub(crate) fn new(operators: IndexMap<Name, Digest>, key: [u8; KEY_BYTES]) -> Self {
        Self { operators, key }
    }

    /// Authenticates a request by its basic credentials.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Name, PageError> {
        let found = basic_credentials(headers).and_then(|(name, credential)| {
            let (known, digest) = self.operators.get_key_value(name.as_str())?;
            (*digest == Digest::of(credential.as_bytes())).then(|| known.clone())
        });
        found.ok_or_else(|| PageError::new(codes::OPERATOR_UNKNOWN, "name or credential is wrong"))
    }

    /// Issues the token of a form that `operator` opens at `now`, the time since the Unix epoch.
    pub(crate) fn issue_token(&self, operator: &str, now: Duration) -> String {
        self.token_at(operator, now.as_secs())
    }

    /// Checks that this guard issued the token to `operator` and that it has not expired.
    pub(crate) fn check_token(
        &self,
        operator: &str,
        token: &str,
        now: Duration,
    ) -> Result<(), PageError> {
        let opened = token.split_once('.').and_then(|(at, _)| at.parse().ok());
        let age = opened.and_then(|at| now.as_secs().checked_sub(at));
        let is_fresh = age.is_some_and(|age| age <= FORM_AGE_MAX.as_secs());
        let is_genuine =
            opened.is_some_and(|at| constant_time_eq(&self.token_at(operator, at), token));
        if is_fresh && is_genuine {
            return Ok(());
        }
        Err(PageError::new(codes::FORM_FOREIGN, "open the form again in this console"))
    }

    fn token_at(&self, operator: &str, at: u64) -> String {
        let mac = blake3::keyed_hash(&self.key, format!("{at} {operator}").as_bytes());
        format!("{at}.{}", mac.to_hex())
    }
}

/// Refuses a form submitted from another site's page.
pub(crate) fn check_origin(headers: &HeaderMap) -> Result<(), PageError> {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let allowed_site = text("sec-fetch-site").is_none_or(|s| s == "same-origin" || s == "none");
    let host = text(HOST.as_str());
    let allowed_origin = text(ORIGIN.as_str()).is_none_or(|origin| {
        let bare = origin.split_once("://").map(|(_, rest)| rest);
        bare.is_some() && bare == host
    });
    if allowed_site && allowed_origin {
        return Ok(());
    }
    Err(PageError::new(codes::FORM_FOREIGN, "the form was sent from another site"))
}

/// Compares in time independent of the position of the first difference.
fn constant_time_eq(left: &str, right: &str) -> bool {
    blake3::hash(left.as_bytes()) == blake3::hash(right.as_bytes())
}

fn basic_credentials(headers: &HeaderMap) -> Option<(String, String)> {
    let header = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, encoded) = header.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("basic") {
        return None;
    }
    let decoded = String::from_utf8(STANDARD.decode(encoded.trim()).ok()?).ok()?;
    let (name, credential) = decoded.split_once(':')?;
    Some((name.to_owned(), credential.to_owned()))
}
