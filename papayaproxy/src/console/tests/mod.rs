//! Tests of the console.

mod change;
mod form;
mod guard;
mod pages;
mod random;

use crate::base::digest::Digest;
use crate::fleet::{Document, parse, render};

/// Sample documents of two fleets.
pub(super) const SAMPLES: [&str; 2] = [
    include_str!("../../../../sample/fleet-kellerbund.ini"),
    include_str!("../../../../sample/fleet-luto.ini"),
];

pub(super) fn sample() -> Document {
    parse(SAMPLES[0]).unwrap()
}

/// The next generation of `before`, with `edit` applied.
pub(super) fn next(before: &Document, edit: impl FnOnce(&mut Document)) -> Document {
    let mut document = before.clone();
    edit(&mut document);
    document.generation += 1;
    document.parent = before.digest;
    parse(&render(&document.sealed())).unwrap()
}

pub(super) fn digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}
