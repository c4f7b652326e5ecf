//! Small HTTP/1.1 server and client on hyper that every stand-in and tool shares.

pub(crate) mod body;
pub(crate) mod client;
pub(crate) mod query;
pub(crate) mod server;

pub use body::Body;
pub use client::{Client, ClientError, Reply};
pub use server::{Handler, Server};
