//! The document of the experiment's fleet.

use super::constants::{ENGINES, PLAIN, ZONES};
use indexmap::IndexMap;
use papayaproxy::Name;
use papayaproxy::fleet::{Document, Fencing, Group, Kind, Model, Role, Service, Upstream, Zone};
use std::net::SocketAddr;
use std::time::Duration;

/// Name of the model's service.
pub(crate) const ASSISTANT: &str = "assistant";

/// Name of the plain service.
pub(crate) const LEDGER: &str = "ledger";

/// Name of the model.
pub(crate) const MODEL: &str = "pear";

/// Ranks of the one lock-step group: the last engines.
pub(crate) const RANKS: usize = 4;

/// The zone of an upstream or entry.
pub(crate) fn zone_of(index: usize) -> Name {
    format!("zone-{}", index % ZONES).into()
}

/// Makes the document: engines first, then the plain services.
pub(crate) fn document() -> Document {
    let mut document = Document { fleet: "lab".into(), generation: 1, ..Document::default() };
    for index in 0..ZONES {
        document.zones.insert(zone_of(index), Zone { region: "east".into() });
    }
    document.models.insert(MODEL.into(), Model { version: 1, adapters: Vec::new() });
    document.services = services();
    for index in 0..ENGINES + PLAIN {
        let service = if index < ENGINES { ASSISTANT } else { LEDGER };
        document.upstreams.insert(name_of(index), upstream(index, service));
    }
    let ranks = (ENGINES - RANKS..ENGINES).map(name_of).collect();
    let group = Group {
        model: MODEL.into(),
        ranks,
        layers: 1,
        experts: 8,
        slots: 4,
        skew_weight: 1.0,
        move_weight: 1.0,
    };
    document.groups.insert("group-0".into(), group);
    document
}

fn name_of(index: usize) -> Name {
    format!("upstream-{index}").into()
}

fn services() -> IndexMap<Name, Service> {
    let deadline = Duration::from_secs(10);
    let model = Service { kind: Kind::Model(MODEL.into()), idempotent: true, deadline };
    let plain = Service { kind: Kind::Plain, idempotent: true, deadline };
    [(ASSISTANT.into(), model), (LEDGER.into(), plain)].into()
}

fn upstream(index: usize, service: &str) -> Upstream {
    Upstream {
        zone: zone_of(index),
        agent: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
        services: vec![service.into()],
        role: Role::Mixed,
        open: true,
        leaves: None,
        fencing: Fencing::Checked,
    }
}
