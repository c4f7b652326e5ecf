//! Messages between entries, and between agents and entries: datagrams and the frames of a fetch.
//! Encoded with postcard, so the order of variants and fields is part of the format.

use crate::base::name::{Incarnation, Name};
use crate::catalog::directory::ListedUpstream;
use crate::catalog::{Catalog, EvacuatedZones, Revision};
use crate::quarantine::PartNews;
use crate::ranks::message::{
    AgentHello, GroupContacts, GroupPulse, GroupStatus, MembersQuery, RankMessage,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Sent to every peer at a regular interval.
    Heartbeat(Heartbeat),
    /// Asks a peer for the age of its configuration and upstream list.
    FreshnessQuery {
        /// Echoed in the answer.
        nonce: u64,
    },
    /// Answers a [`Message::FreshnessQuery`].
    Freshness(Freshness),
    /// Announces an agent to an entry.
    Hello(AgentHello),
    /// Answers a [`Message::Hello`].
    Contacts(GroupContacts),
    /// Status of a lock-step group, sent by its agents.
    Group(GroupStatus),
    /// Sent between agents only; entries ignore it.
    Rank(RankMessage),
    /// Status of a lock-step group without its members, sent by its agents.
    Pulse(GroupPulse),
    /// Sent by a reader of the store to those that rely on it, when something has changed.
    Changed {
        /// Version of the configuration in force.
        version: u64,
        /// Digest of the upstream list.
        list_digest: u64,
        /// Store revision as of which the evacuated zones are complete; none if they are not known.
        evacuations: Revision,
    },
    /// Asks an agent for a [`Message::Group`].
    Members(MembersQuery),
    /// Which parts of prompts have crashed upstreams, and which are sound.
    Parts(PartNews),
    /// Rate limits of upstreams that have changed.
    Limits(Vec<LimitNews>),
    /// Number of entries that the sender shares by, sent to entries that have started.
    Entries(u16),
    /// Capacity that the sender has promised to refused requests, sent only while there is some.
    Promises(Vec<PromiseNews>),
    /// Which requests have ended with their upstreams, and which were answered: by their keys, in place
    /// of those of parts.
    Requests(PartNews),
}

/// State and load of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Availability zone of the sender.
    pub(crate) zone: Name,
    /// Identifies the run of the sending process.
    pub(crate) incarnation: Incarnation,
    /// Counts the heartbeats of this run, from 1.
    pub(crate) sequence: u64,
    /// Version of the configuration in force; 0 before the first.
    pub(crate) version: u64,
    /// Live peers of the sender; empty in most heartbeats.
    pub(crate) known_peers: Vec<SocketAddr>,
    /// Load that the sender puts on each upstream.
    pub(crate) loads: Vec<UpstreamLoad>,
    /// Rates at which the sender receives requests for services that admit by priority.
    pub(crate) demand: Vec<DemandRate>,
}

/// Rate at which one entry receives requests of one priority for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DemandRate {
    /// The service's name, by its [`digest`].
    pub(crate) service: u32,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// Requests in 16 seconds.
    pub(crate) rate: u16,
}

/// Load that one entry puts on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    /// The upstream's id, by its [`digest`].
    pub(crate) upstream: u32,
    /// Requests in progress.
    pub(crate) running: u16,
    /// Prompt tokens of the requests in progress whose response has not begun.
    pub(crate) tokens: u32,
}

/// The rate limit that an upstream's answer named.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNews {
    /// The upstream's id, by its [`digest`].
    pub(crate) upstream: u32,
    /// Requests a second from all entries together; `None` if the answer named no limit.
    pub(crate) limit: Option<f64>,
    /// Time since the answer.
    pub(crate) age_ms: u64,
}

/// Capacity of a service that an entry has promised to refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PromiseNews {
    /// The service's name, by its [`digest`].
    pub(crate) service: u32,
    /// Age of the sender's current quarter of a second.
    pub(crate) phase_ms: u16,
    /// What is still due.
    pub(crate) promises: Vec<PromisedCount>,
}

/// Number of requests that were refused and are to return in the same quarters of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PromisedCount {
    /// Quarters from the current one to that of the return.
    pub(crate) due: u8,
    /// Time since the refusal, in units of 50 ms.
    pub(crate) age: u8,
    /// Priority of the requests.
    pub(crate) priority: u8,
    /// Number of requests.
    pub(crate) count: u16,
}

/// Ages of an entry's configuration and upstream list, and the evacuated zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Freshness {
    /// The query's nonce.
    pub(crate) nonce: u64,
    /// Version of the configuration in force; 0 before the first.
    pub(crate) version: u64,
    /// Time since this version was last known to be the newest; `None` before the first time.
    pub(crate) config_age_ms: Option<u64>,
    /// Time since the upstream list was last known to be complete; `None` before the first time.
    pub(crate) list_age_ms: Option<u64>,
    /// Store revision as of which the list is complete.
    pub(crate) list_revision: Revision,
    /// Digest of the list.
    pub(crate) list_digest: u64,
    /// The zones that the operator evacuates, which are as late as the configuration; `None` if the
    /// sender does not know them or does not read them.
    pub(crate) evacuations: Option<EvacuatedZones>,
}

impl Freshness {
    /// What an entry with `catalog` answers to the query `nonce`.
    pub(crate) fn of(catalog: &Catalog, nonce: u64) -> Self {
        let millis = |age: Duration| age.as_millis() as u64;
        Self {
            nonce,
            version: catalog.version(),
            config_age_ms: catalog.config_age().map(millis),
            list_age_ms: catalog.directory_age().map(millis),
            list_revision: catalog.list_revision(),
            list_digest: catalog.list_digest(),
            evacuations: catalog.told_evacuations(),
        }
    }
}

/// What an entry fetches from a peer over TCP.
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
        /// The bytes of the configuration.
        raw: Vec<u8>,
        /// A store revision at which the configuration was the newest.
        revision: Revision,
    },
    /// The upstreams.
    List {
        /// The upstreams' records.
        listed: Vec<ListedUpstream>,
        /// Store revision as of which the list is complete.
        revision: Revision,
        /// Time since the list was last known to be complete.
        age_ms: u64,
    },
    /// The peer does not have it yet.
    Nothing,
}

/// Hash of an upstream's id or a service's name, which stands for it in messages.
pub(crate) fn digest(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

/// Sends a datagram to each address. Failures are only logged, since the next message follows soon.
pub(crate) async fn send(socket: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "message could not be encoded");
            return;
        }
    };
    for address in to {
        if let Err(error) = socket.send_to(&bytes, address).await {
            tracing::debug!(peer = %address, %error, "datagram could not be sent");
        }
    }
}
