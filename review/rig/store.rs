//! Stand-in for the platform's store: `op/config` and `servers/ID`, with reads and watches.

use crate::net::{Server, Wire, answer, base64};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key, and the value or `None` for a removal.
    log: Vec<(u64, String, Option<String>)>,
    /// Raised to cut the watches of the configuration that are waiting.
    cut: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Opens an address of the store and returns it.
    pub fn open(&self) -> io::Result<String> {
        let store = self.clone();
        Ok(Server::open(move |wire| store.handle(wire))?.address().to_owned())
    }

    /// Writes a value; returning is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let encoded = value.map(|v| base64(v.as_bytes()));
        match &encoded {
            Some(text) => drop(state.items.insert(key.to_owned(), (text.clone(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.log.push((revision, key.to_owned(), encoded));
        self.shared.1.notify_all();
    }

    /// Cuts the watches of the configuration that are waiting now.
    pub fn cut_config_watches(&self) {
        self.shared.0.lock().unwrap().cut += 1;
        self.shared.1.notify_all();
    }

    fn handle(&self, mut wire: Wire) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            let Some(reply) = self.reply(head.word()) else { return Ok(()) };
            wire.send(&reply)?;
        }
        Ok(())
    }

    /// The answer to a call; `None` cuts the connection.
    fn reply(&self, target: &str) -> Option<Vec<u8>> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let argument = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('='));
            pair.clone()
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.replace("%2F", "/"))
                .unwrap_or_default()
        };
        let mut state = self.shared.0.lock().unwrap();
        let item = |key: &str, value: &str, revision: u64| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"leaseId\":0"
            )
        };
        let json = |status: &str, body: String| {
            Some(answer(status, "Content-Type: application/json\r\n", body.as_bytes()))
        };
        match path {
            "/kv-key" => match state.items.get(&argument("key")) {
                Some((value, revision)) => {
                    let text = item(&argument("key"), value, *revision);
                    json("200 OK", format!("{text},\"atRev\":{}}}", state.revision))
                }
                None => json("404 Not Found", "{}".into()),
            },
            "/kv-range" => {
                let prefix = argument("pathPrefix");
                let items = state.items.iter().filter(|(k, _)| k.starts_with(&prefix));
                let items: Vec<_> = items.map(|(k, (v, r))| item(k, v, *r) + "}").collect();
                let (items, revision) = (items.join(","), state.revision);
                json(
                    "200 OK",
                    format!("{{\"items\":[{items}],\"hasMore\":false,\"atRev\":{revision}}}"),
                )
            }
            "/kv-watch" => {
                let (prefix, after) =
                    (argument("pathPrefix"), argument("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(argument("waitMs").parse().unwrap_or(0));
                let (end, cut) = (Instant::now() + wait, state.cut);
                let is_config = prefix.starts_with("op/");
                loop {
                    let now = Instant::now();
                    let news = |(r, k, _): &&(u64, String, Option<String>)| {
                        *r > after && k.starts_with(&prefix)
                    };
                    let events: Vec<_> = state.log.iter().filter(news).collect();
                    if is_config && state.cut != cut {
                        return None;
                    }
                    if !events.is_empty() || now >= end {
                        let texts: Vec<_> = events
                            .iter()
                            .map(|(r, k, v)| match v {
                                Some(value) => item(k, value, *r) + "}",
                                None => {
                                    format!("{{\"key\":\"{k}\",\"revision\":{r},\"deleted\":true}}")
                                }
                            })
                            .collect();
                        let (texts, revision) = (texts.join(","), state.revision);
                        return json(
                            "200 OK",
                            format!("{{\"events\":[{texts}],\"atRev\":{revision}}}"),
                        );
                    }
                    let left = end.saturating_duration_since(now).max(Duration::from_millis(1));
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => json("404 Not Found", "{}".into()),
        }
    }
}
