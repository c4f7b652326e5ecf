//! `papaya-lab spread`: how fast a change of the fleet document is in force on every process.
//!
//! The processes are members as tasks on one thread of one process, with their own sockets.

pub(crate) mod cluster;
pub(crate) mod command;
pub(crate) mod cost;
pub(crate) mod cuts;
pub(crate) mod document;
pub(crate) mod parts;
pub(crate) mod plan;

pub(crate) use command::{command, run};
