//! A bare one-hop HTTP forwarder: the baseline of the latency benchmark.

pub(crate) mod command;
pub(crate) mod server;

pub use command::{command, run};
pub use server::{Forward, ForwardSettings, bind};
