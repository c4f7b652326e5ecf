//! Tests of seals, frames and links.

mod codec;
mod link;
mod seal;

use super::secret::{Secret, Secrets};

/// Returns keys numbered `current` and `other`, each filled with its number.
fn secrets(current: u8, other: Option<u8>) -> Secrets {
    let make = |id: u8| Secret::new(id, &[id; 32]);
    Secrets { current: make(current), other: other.map(make) }
}
