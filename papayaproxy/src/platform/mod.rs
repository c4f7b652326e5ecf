//! Adapter to the users' platform: header names, paths, data formats and calls. It makes no
//! decisions.
//!
//! Data from the wire is decoded once into types of [`crate::catalog`], [`crate::gateway`] and
//! [`crate::ranks`], whose fields are named after their content.

pub(crate) mod caller;
pub(crate) mod config;
pub(crate) mod names;
pub(crate) mod rank;
pub(crate) mod replica;
pub(crate) mod request;
pub(crate) mod store;
pub(crate) mod upstream;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use caller::CallError;
pub(crate) use store::{
    EvacuationChange, FailureSign, OperatorUpdate, Store, StoreError, StoreUpdate,
};
