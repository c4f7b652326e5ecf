//! Fake store whose content tests change while a catalog follows it.

use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::catalog::Catalog;
use crate::gateway::tests::stand_ins::{Action, FakeServer, ReceivedRequest};
use crate::platform::Store;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time within which the catalog must show a change; far more than it needs.
pub(super) const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which the removal of an upstream may stay unknown.
pub(super) const DRAIN: Duration = Duration::from_millis(500);

/// What the store holds and does.
#[derive(Default)]
pub(super) struct Content {
    /// Items by key: the JSON text of `value`, or `None` if deleted, and the revision.
    items: IndexMap<String, (Option<String>, u64)>,
    revision: u64,
    /// How often the store has come back from a copy.
    era: u64,
    /// Item that is written once the next full read has been answered: its key and its JSON text.
    write_after_read: Option<(&'static str, String)>,
    /// The next watch of this prefix is told that its history is gone.
    pub(super) gone_prefix: Option<&'static str>,
    /// Items in a page of a listing; `None` for all.
    pub(super) page_items: Option<usize>,
    /// Body of the next answer to a watch of upstreams in place of the right one.
    pub(super) watch_body: Option<String>,
    /// Whether each page of a listing is followed by the same page.
    pub(super) is_endless: bool,
    /// Calls so far, by path.
    pub(super) calls: IndexMap<String, usize>,
    /// Watches of this prefix are cut at once, as long as it is set.
    pub(super) cut_prefix: Option<&'static str>,
    /// The next watch of this prefix is cut after this time.
    pub(super) cut_late: Option<(&'static str, Duration)>,
}

/// Items and revision of a store at one time.
type StoreCopy = (IndexMap<String, (Option<String>, u64)>, u64);

impl Content {
    fn change(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (value, self.revision));
    }
}

/// A running fake store.
#[derive(Clone)]
pub(super) struct FakeStore {
    pub(super) content: Rc<RefCell<Content>>,
    pub(super) server: FakeServer,
}

impl FakeStore {
    pub(super) async fn bind() -> Self {
        let content: Rc<RefCell<Content>> = Rc::default();
        let served = content.clone();
        let server = FakeServer::bind(move |request| answer(&served, request)).await;
        Self { content, server }
    }

    /// Starts a catalog that follows this store.
    pub(super) fn follow(&self) -> Rc<Catalog> {
        Catalog::spawn(Store::new(self.server.address), Clock::start(), DRAIN, false)
    }

    /// Writes `bytes` under `key`.
    pub(super) fn put(&self, key: &str, bytes: impl AsRef<[u8]>) {
        self.put_text(key, &format!("\"{}\"", BASE64_STANDARD.encode(bytes)));
    }

    /// Writes an item whose `value` is the JSON text `value`.
    pub(super) fn put_text(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub(super) fn delete(&self, key: &str) {
        self.change(key, None);
    }

    /// Deletes `key` so that no watch tells of it.
    pub(super) fn delete_unseen(&self, key: &str) {
        let mut content = self.content.borrow_mut();
        content.revision += 1;
        content.items.shift_remove(key);
    }

    fn change(&self, key: &str, value: Option<String>) {
        self.content.borrow_mut().change(key, value);
    }

    /// A copy of the store's data.
    pub(super) fn copy(&self) -> StoreCopy {
        let content = self.content.borrow();
        (content.items.clone(), content.revision)
    }

    /// Comes back from `copy`; watches are cut until [`FakeStore::serve_watches`].
    pub(super) fn restore(&self, copy: StoreCopy, cut_prefix: &'static str) {
        let mut content = self.content.borrow_mut();
        (content.items, content.revision) = copy;
        content.era += 1;
        content.cut_prefix = Some(cut_prefix);
    }

    /// Writes `bytes` under `key` once the next full read of it has been answered.
    pub(super) fn write_after_read(&self, key: &'static str, bytes: impl AsRef<[u8]>) {
        let text = format!("\"{}\"", BASE64_STANDARD.encode(bytes));
        self.content.borrow_mut().write_after_read = Some((key, text));
    }

    /// Answers watches again.
    pub(super) fn serve_watches(&self) {
        self.content.borrow_mut().cut_prefix = None;
    }

    /// Calls to `path` so far.
    pub(super) fn calls(&self, path: &str) -> usize {
        self.content.borrow().calls.get(path).copied().unwrap_or_default()
    }

    /// Waits until `path` has been called `count` times more.
    pub(super) async fn wait_for_calls(&self, path: &str, count: usize) {
        let goal = self.calls(path) + count;
        let calls = async {
            while self.calls(path) < goal {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(CHANGE_LIMIT, calls).await.unwrap();
    }
}

/// Waits until the ready upstreams are `expected`, in any order.
pub(super) async fn wait_for_ready(catalog: &Catalog, expected: &[&str]) {
    let mut found = Vec::new();
    let shown = async {
        loop {
            found = ready(catalog);
            if found == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_shown = timeout(CHANGE_LIMIT, shown).await.is_ok();
    assert!(is_shown, "ready: {found:?}, expected: {expected:?}");
}

/// Waits until the configuration in force is `version`.
pub(super) async fn wait_for_version(catalog: &Catalog, version: u64) {
    let shown = async {
        while catalog.version() != version {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_shown = timeout(CHANGE_LIMIT, shown).await.is_ok();
    assert!(is_shown, "version {}, expected: {version}", catalog.version());
}

/// Ids of the ready upstreams, sorted.
pub(super) fn ready(catalog: &Catalog) -> Vec<Name> {
    let mut ids: Vec<Name> =
        catalog.with_directory(|d| d.ready().map(|(id, _)| id.clone()).collect());
    ids.sort_unstable();
    ids
}

fn answer(content: &RefCell<Content>, request: &ReceivedRequest) -> Vec<Action> {
    let target = request.head.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = form_urlencoded::parse(query.as_bytes()).into_owned();
    let query: IndexMap<String, String> = pairs.collect();
    let mut content = content.borrow_mut();
    let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
    *content.calls.entry(format!("{path} {prefix}").trim_end().to_owned()).or_default() += 1;
    let (wait, status, body) = match path {
        "/kv-key" => match content.items.get(&query["key"]) {
            Some((Some(value), revision)) => {
                let (key, at) = (&query["key"], content.revision);
                let body = format!(
                    r#"{{"key":"{key}","value":{value},"revision":{revision},"created":1,"leaseId":0,"atRev":{at}}}"#
                );
                (0, 200, body)
            }
            _ => (0, 404, String::new()),
        },
        "/kv-range" => (0, 200, listing(&content, &prefix, query.get("after"))),
        _ if content.cut_prefix == Some(prefix.as_str()) => return vec![Action::Close],
        _ if content.cut_late.is_some_and(|(p, _)| p == prefix) => {
            let (_, after) = content.cut_late.take().unwrap_or_default();
            return vec![Action::Wait(after), Action::Close];
        }
        _ if content.gone_prefix == Some(prefix.as_str()) => {
            content.gone_prefix = None;
            (0, 410, String::new())
        }
        _ if content.watch_body.is_some() && prefix == "servers/" => {
            (0, 200, content.watch_body.take().unwrap_or_default())
        }
        _ if query["after"].parse::<u64>().unwrap() > content.revision => (0, 410, String::new()),
        _ => {
            let after = query["after"].parse().unwrap();
            let events = events(&content, &prefix, after);
            let wait = if events.is_empty() { 20 } else { 0 };
            let at = content.revision;
            (wait, 200, format!(r#"{{"events":[{}],"atRev":{at}}}"#, events.join(",")))
        }
    };
    let era = content.era;
    let head = format!(
        "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let is_read = |key: &str| match path {
        "/kv-key" => query["key"] == key,
        "/kv-range" => key.starts_with(&prefix),
        _ => false,
    };
    if let Some((key, value)) = content.write_after_read.take_if(|(key, _)| is_read(key)) {
        content.change(key, Some(value));
    }
    vec![Action::Wait(Duration::from_millis(wait)), Action::Send(head + &body)]
}

fn listing(content: &Content, prefix: &str, after: Option<&String>) -> String {
    let mut items: Vec<_> = content.items.iter().collect();
    items.sort_unstable();
    let is_after = |key: &&String| content.is_endless || after.is_none_or(|a| *key > a);
    let items = items.into_iter().filter(|(key, _)| key.starts_with(prefix) && is_after(key));
    let items = items.filter_map(|(key, (value, revision))| {
        let value = value.as_ref()?;
        Some(format!(r#"{{"key":"{key}","value":{value},"revision":{revision},"created":1}}"#))
    });
    let mut items: Vec<String> = items.collect();
    let page_items = content.page_items.unwrap_or(items.len());
    let (more, at) = (content.is_endless || items.len() > page_items, content.revision);
    items.truncate(page_items);
    format!(r#"{{"items":[{}],"hasMore":{more},"atRev":{at}}}"#, items.join(","))
}

fn events(content: &Content, prefix: &str, after: u64) -> Vec<String> {
    let is_new = |(key, (_, revision)): &(&String, &(Option<String>, u64))| {
        key.starts_with(prefix) && *revision > after
    };
    let mut changed: Vec<_> = content.items.iter().filter(is_new).collect();
    changed.sort_unstable_by_key(|(_, (_, revision))| *revision);
    let event = |(key, (value, revision)): (&String, &(Option<String>, u64))| match value {
        Some(value) => format!(r#"{{"key":"{key}","value":{value},"revision":{revision}}}"#),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    };
    changed.into_iter().map(event).collect()
}
