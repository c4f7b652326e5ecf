//! Stand-in for the platform's store, with one address for each machine.

use super::platform::{READ_ITEM, READ_RANGE, WATCH};
use super::wire::{Body, Wire, response};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// How the store treats a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Manner {
    #[default]
    Fine,
    /// Answers 503.
    Refuses,
    /// Answers after a second.
    Slow,
    /// Closes each connection that asks.
    Down,
}

struct State {
    revision: u64,
    /// Revisions up to here are forgotten.
    forgotten: u64,
    items: BTreeMap<String, (Values, u64)>,
    log: Vec<(u64, String, Option<Values>)>,
    manners: Vec<Manner>,
}

/// What each machine reads of an item, encoded.
type Values = Arc<[String]>;

/// The store.
#[derive(Clone)]
pub(super) struct Store {
    state: Arc<Mutex<State>>,
    /// Changes with each revision.
    news: watch::Sender<u64>,
    /// Changes when the watches that wait are cut.
    cuts: watch::Sender<u64>,
}

impl Store {
    pub(super) fn new(machines: usize) -> Self {
        let state = State {
            revision: 100,
            forgotten: 0,
            items: BTreeMap::new(),
            log: Vec::new(),
            manners: vec![Manner::Fine; machines],
        };
        let (news, cuts) = (watch::Sender::new(0), watch::Sender::new(0));
        Self { state: Arc::new(Mutex::new(state)), news, cuts }
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Opens the address for `machine`.
    pub(super) async fn open(&self, machine: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move {
                    if let Ok(wire) = Wire::new(stream) {
                        // The caller's end of the connection needs no report.
                        let _ = store.serve(machine, wire).await;
                    }
                });
            }
        });
        Ok(address)
    }

    /// Writes a value, or removes it. Returning is the acknowledgement.
    pub(super) fn put(&self, key: &str, value: Option<&str>) {
        self.put_by_machine(key, value.map(|v| |_: usize| v.to_owned()));
    }

    /// The same with a value that differs by the machine that reads it.
    pub(super) fn put_by_machine(&self, key: &str, value: Option<impl Fn(usize) -> String>) {
        let revision = self.with(|state| {
            state.revision += 1;
            let (revision, machines) = (state.revision, state.manners.len());
            let text = value.map(|v| -> Values {
                (0..machines).map(|m| BASE64_STANDARD.encode(v(m))).collect()
            });
            match &text {
                Some(text) => drop(state.items.insert(key.to_owned(), (text.clone(), revision))),
                None => drop(state.items.remove(key)),
            }
            state.log.push((revision, key.to_owned(), text));
            revision
        });
        self.news.send_replace(revision);
    }

    /// Sets how `machine` is treated; `None` sets it for all.
    pub(super) fn treat(&self, machine: Option<usize>, manner: Manner) {
        self.with(|state| {
            let chosen = |i: usize| machine.is_none_or(|m| m == i);
            let all = state.manners.iter_mut().enumerate().filter(|(i, _)| chosen(*i));
            all.for_each(|(_, m)| *m = manner);
        });
        if manner != Manner::Fine {
            self.cut_watches();
        }
    }

    /// Cuts the watches that wait now.
    pub(super) fn cut_watches(&self) {
        self.cuts.send_modify(|c| *c += 1);
    }

    /// Forgets all history.
    pub(super) fn forget(&self) {
        self.with(|state| {
            state.forgotten = state.revision;
            state.log.clear();
        });
        self.cut_watches();
    }

    async fn serve(&self, machine: usize, mut wire: Wire) -> io::Result<()> {
        loop {
            let head = wire.head().await?;
            Body::of_request(&head)?.rest(&mut wire).await?;
            let (status, body) = match self.with(|s| s.manners[machine]) {
                Manner::Down => return Ok(()),
                Manner::Refuses => ("503 Service Unavailable", json!({})),
                Manner::Slow => {
                    sleep(Duration::from_secs(1)).await;
                    self.answer(machine, head.target()).await?
                }
                Manner::Fine => {
                    sleep(Duration::from_millis(4)).await;
                    self.answer(machine, head.target()).await?
                }
            };
            let headers = "Content-Type: application/json\r\n";
            wire.send(&response(status, headers, body.to_string().as_bytes())).await?;
        }
    }

    async fn answer(&self, machine: usize, target: &str) -> io::Result<(&'static str, Value)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.replace("%2F", "/"))
        };
        match path {
            READ_ITEM => Ok(self.with(|state| {
                let (key, revision) = (argument("key"), state.revision);
                state.items.get(&key).map_or(("404 Not Found", json!({})), |(value, at)| {
                    let mut item = item(&key, Some(&value[machine]), *at);
                    item["atRev"] = revision.into();
                    ("200 OK", item)
                })
            })),
            READ_RANGE => Ok(self.with(|state| {
                let (prefix, after) = (argument("pathPrefix"), argument("after"));
                let found = state.items.iter().filter(|(k, _)| k.starts_with(&prefix));
                let found = found.filter(|(k, _)| after.is_empty() || **k > after);
                let items: Vec<_> =
                    found.map(|(k, (v, at))| item(k, Some(&v[machine]), *at)).collect();
                ("200 OK", json!({"items": items, "hasMore": false, "atRev": state.revision}))
            })),
            WATCH => {
                let after = argument("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(argument("waitMs").parse().unwrap_or(0));
                self.watch(machine, &argument("pathPrefix"), after, Instant::now() + wait).await
            }
            _ => Ok(("404 Not Found", json!({}))),
        }
    }

    async fn watch(
        &self,
        machine: usize,
        prefix: &str,
        after: u64,
        end: Instant,
    ) -> io::Result<(&'static str, Value)> {
        let (mut news, mut cuts) = (self.news.subscribe(), self.cuts.subscribe());
        loop {
            let (is_gone, events, revision) = self.with(|state| {
                let news = state.log.iter().filter(|(r, k, _)| *r > after && k.starts_with(prefix));
                let events: Vec<_> =
                    news.map(|(r, k, v)| item(k, v.as_ref().map(|v| &v[machine]), *r)).collect();
                (after < state.forgotten, events, state.revision)
            });
            if is_gone {
                return Ok(("410 Gone", json!({})));
            }
            if !events.is_empty() || Instant::now() >= end {
                return Ok(("200 OK", json!({"events": events, "atRev": revision})));
            }
            tokio::select! {
                _ = timeout_at(end, news.changed()) => {}
                _ = cuts.changed() => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> Value {
    match value {
        Some(v) => {
            json!({"key": key, "value": v, "revision": revision, "created": revision, "leaseId": 0})
        }
        None => json!({"key": key, "revision": revision, "deleted": true}),
    }
}
