//! The demo's fleet: the sample document with the addresses of this run.

use papayaproxy::Name;
use papayaproxy::fleet::{Document, Kind, Leave, parse, render};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// The sample document, which also names the demo's workspaces.
const SAMPLE: &str = include_str!("../../../sample/fleet.ini");

/// Suffix that makes a workspace's credential of its name, in the sample.
const CREDENTIAL_SUFFIX: &str = "-demo";

/// How long a planned stop of the demo would last.
const STOP_LENGTH: Duration = Duration::from_secs(3600);

/// The sample document.
pub(crate) fn sample() -> io::Result<Document> {
    parse(SAMPLE).map_err(io::Error::other)
}

/// The credential of a workspace of the sample.
pub(crate) fn credential(workspace: &str) -> String {
    format!("{workspace}{CREDENTIAL_SUFFIX}")
}

/// The model that an upstream's engine serves; `None` for a plain service.
pub(crate) fn model<'a>(document: &'a Document, upstream: &str) -> Option<&'a Name> {
    let services = &document.upstreams.get(upstream)?.services;
    services.iter().find_map(|s| match &document.services.get(s)?.kind {
        Kind::Model(model) => Some(model),
        Kind::Plain => None,
    })
}

/// The document with each agent at one of `addresses`.
pub(crate) fn place(mut document: Document, addresses: &[SocketAddr]) -> Document {
    for (upstream, address) in document.upstreams.values_mut().zip(addresses) {
        upstream.agent = *address;
    }
    document.sealed()
}

/// The next document, by which `upstreams` leave at once.
pub(crate) fn leave(document: &Document, upstreams: &[Name]) -> Document {
    let mut next = document.clone();
    let from = SystemTime::now();
    for name in upstreams {
        if let Some(upstream) = next.upstreams.get_mut(name) {
            upstream.leaves = Some(Leave { from, until: from + STOP_LENGTH });
        }
    }
    next.generation += 1;
    next.parent = document.digest;
    next.sealed()
}

/// The document's text, as an operator publishes it.
pub(crate) fn text(document: &Document) -> io::Result<String> {
    let text = render(document);
    parse(&text).map_err(io::Error::other)?;
    Ok(text)
}
