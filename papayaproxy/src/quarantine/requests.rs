//! Requests that crash the upstreams that run them.

use xxhash_rust::xxh3::Xxh3;

/// Stands for all requests with the same service, method, target, workspace and body.
pub(crate) type RequestKey = u64;

/// The key of a request.
pub(crate) fn request_key(
    service: &str,
    method: &str,
    target: &str,
    workspace: &str,
    body: &[u8],
) -> RequestKey {
    let mut hasher = Xxh3::new();
    for field in [service.as_bytes(), method.as_bytes(), target.as_bytes(), workspace.as_bytes()] {
        // With its length, so that no two lists of fields are the same bytes.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    hasher.digest()
}
