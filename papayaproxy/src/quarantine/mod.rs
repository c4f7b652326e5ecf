//! Parts of prompts that crash the upstreams that answer them, and requests that do as a whole: found by
//! what crashed upstreams had in common, told to the other entries, and no longer sent.
//!
//! Contains no I/O, clock or randomness: each method takes `now`.

pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod news;
pub(crate) mod parts;
pub(crate) mod requests;

#[cfg(test)]
mod tests;

pub(crate) use news::PartNews;
pub(crate) use parts::{Crash, PartKey, Quarantine, key_list, shared_keys};
pub(crate) use requests::{RequestKey, RequestQuarantine, request_key};
