//! What entries tell each other: datagrams, and frames of a transfer. Encoded by postcard.

use crate::base::name::{Incarnation, Name};
use crate::catalog::directory::ListedUpstream;
use crate::ranks::message::{AgentHello, GroupContacts, GroupStatus, RankMessage};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Sent to every peer all the time.
    Heartbeat(Heartbeat),
    /// Asks how fresh the peer's knowledge is.
    FreshnessQuery {
        /// Echoed in the answer.
        nonce: u64,
    },
    /// Answers an [`Message::FreshnessQuery`].
    Freshness(Freshness),
    /// An agent tells that it is there.
    Hello(AgentHello),
    /// Answers a [`Message::Hello`].
    Contacts(GroupContacts),
    /// How a lock-step group is.
    Group(GroupStatus),
    /// Between agents only.
    Rank(RankMessage),
}

/// What an entry does at the moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Its availability zone.
    pub(crate) zone: Name,
    /// This run of the process.
    pub(crate) incarnation: Incarnation,
    /// Counts the beats of this run.
    pub(crate) sequence: u64,
    /// Version of its configuration.
    pub(crate) version: u64,
    /// Other entries that it knows.
    pub(crate) names: Vec<SocketAddr>,
    /// What it runs at each upstream.
    pub(crate) loads: Vec<UpstreamLoad>,
}

/// What an entry runs at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    /// Digest of the upstream's id.
    pub(crate) upstream: u32,
    /// Requests.
    pub(crate) running: u16,
    /// Prompt tokens of those whose answer has not begun.
    pub(crate) tokens: u32,
}

/// How fresh an entry's knowledge is, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Freshness {
    /// The question's nonce.
    pub(crate) nonce: u64,
    /// Version of the configuration.
    pub(crate) version: u64,
    /// Age of the proof that this version is the newest.
    pub(crate) proof_ms: Option<u64>,
    /// Age of the list of upstreams.
    pub(crate) list_ms: Option<u64>,
}

/// Asks for a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FetchRequest {
    /// The configuration.
    Config,
    /// The upstreams.
    List,
}

/// Answers a [`FetchRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FetchReply {
    /// The configuration as the operator wrote it.
    Config {
        /// Its bytes.
        raw: Vec<u8>,
        /// The store's revision at which it was the newest.
        revision: u64,
    },
    /// The upstreams.
    List {
        /// Their entries.
        listed: Vec<ListedUpstream>,
        /// Age of the list in milliseconds.
        age_ms: u64,
    },
    /// The peer has nothing to give.
    Nothing,
}

/// Digest that stands for an upstream's id in a beat.
pub(crate) fn digest(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

/// Sends a datagram to each address. What cannot be sent is only noted: the next one follows soon.
pub(crate) async fn send(socket: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "a message cannot be encoded");
            return;
        }
    };
    for address in to {
        if let Err(error) = socket.send_to(&bytes, address).await {
            tracing::debug!(peer = %address, %error, "datagram not sent");
        }
    }
}
