//! The replicas, what the store says of them, and the configuration.

use super::constants::{HEARTBEAT_LIMIT, PLAIN_TIMEOUT, SERVES_ON};
use super::link::LinkManner;
use super::platform::CONFIG_KEY;
use super::record::{Act, Record, Service};
use super::replica::{Manner, Replica};
use super::store::Store;
use serde_json::json;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Host of all routes.
pub(super) const HOST: &str = "soak.example";

/// Key that all configurations hold.
pub(super) const STEADY_KEY: &str = "key-steady";

/// Replicas by their places, and the configuration in force.
pub(super) struct Fleet {
    pub(super) store: Store,
    record: Arc<Record>,
    drain: Duration,
    /// Links to each replica: one for each entry, or none.
    links: usize,
    places: Mutex<Vec<Arc<Replica>>>,
    born: AtomicU64,
    config: Mutex<Config>,
}

/// What differs between configurations.
#[derive(Clone, Debug, Default)]
struct Config {
    version: u64,
    /// Key that this version brought, and the one that it removed.
    key: String,
    removed: Option<String>,
}

impl Fleet {
    pub(super) async fn open(
        record: Arc<Record>,
        store: Store,
        drain: Duration,
        links: usize,
        counts: [usize; 2],
    ) -> io::Result<Arc<Self>> {
        let fleet = Self {
            store,
            record,
            drain,
            links,
            places: Mutex::default(),
            born: AtomicU64::new(0),
            config: Mutex::default(),
        };
        for (service, count) in Service::ALL.into_iter().zip(counts) {
            for rank in 0..count {
                let replica = fleet.start(service, rank).await?;
                fleet.places().push(replica);
            }
        }
        fleet.publish();
        Ok(Arc::new(fleet))
    }

    fn places(&self) -> MutexGuard<'_, Vec<Arc<Replica>>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, Config> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start(&self, service: Service, rank: usize) -> io::Result<Arc<Replica>> {
        let id = format!("i-{:08x}", self.born.fetch_add(1, Ordering::SeqCst));
        let replica = Replica::open(id, service, rank, self.links, self.record.clone()).await?;
        let key = format!("servers/{}", replica.id);
        self.store.put_by_machine(&key, Some(|machine| replica.entry("ready", machine)));
        self.record.act(Act::Replica(format!("{} of {} starts", replica.id, service.name())));
        Ok(replica)
    }

    /// Replicas of a service that are there now.
    pub(super) fn replicas(&self, service: Service) -> Vec<Arc<Replica>> {
        self.places().iter().filter(|r| r.service == service).cloned().collect()
    }

    /// Lets `replicas` behave as `manner` for a time.
    pub(super) async fn upset(&self, replicas: &[Arc<Replica>], manner: Manner, time: Duration) {
        let ids: Vec<_> = replicas.iter().map(|r| r.id.as_str()).collect();
        self.record.act(Act::Replica(format!("{manner:?} for {time:?}: {}", ids.join(" "))));
        for replica in replicas {
            replica.manner.send_replace(manner);
        }
        sleep(time).await;
        for replica in replicas {
            // A later fault that still lasts stays.
            replica.manner.send_if_modified(|now| {
                let is_own = *now == manner;
                if is_own {
                    *now = Manner::Fine;
                }
                is_own
            });
        }
    }

    /// The pairs of entry and replica with a link that `meets`.
    pub(super) fn links(
        &self,
        meets: impl Fn(usize, &Replica) -> bool,
    ) -> Vec<(usize, Arc<Replica>)> {
        let places = self.places();
        let all = places.iter().flat_map(|r| (0..r.links.len()).map(move |entry| (entry, r)));
        all.filter(|(entry, r)| meets(*entry, r)).map(|(entry, r)| (entry, r.clone())).collect()
    }

    /// Lets the links of `pairs` behave as `manner` for a time.
    pub(super) async fn harm_links(
        &self,
        pairs: &[(usize, Arc<Replica>)],
        manner: LinkManner,
        time: Duration,
    ) {
        let links = || pairs.iter().map(|(entry, replica)| &replica.links[*entry].manner);
        for link in links() {
            link.send_replace(manner);
        }
        sleep(time).await;
        for link in links() {
            // A later fault that still lasts stays.
            link.send_if_modified(|now| {
                let is_own = *now == manner;
                if is_own {
                    *now = LinkManner::Fine;
                }
                is_own
            });
        }
    }

    /// Crashes a replica; another takes its place.
    pub(super) async fn crash(&self, replica: &Arc<Replica>, away: Duration) -> io::Result<()> {
        replica.end();
        let expire = async {
            sleep(HEARTBEAT_LIMIT).await;
            self.store.put(&format!("servers/{}", replica.id), None);
        };
        let follow = async {
            sleep(away).await;
            self.replace(replica).await
        };
        tokio::join!(expire, follow).1
    }

    /// Drains a replica, or removes its entry, after another was started in its place.
    pub(super) async fn release(&self, replica: &Arc<Replica>, is_told: bool) -> io::Result<()> {
        self.replace(replica).await?;
        let key = format!("servers/{}", replica.id);
        replica.is_leaving.store(true, Ordering::SeqCst);
        let told = is_told.then_some(|machine| replica.entry("draining", machine));
        self.store.put_by_machine(&key, told);
        self.record.act(Act::Leaving(replica.id.clone()));
        sleep(self.drain + SERVES_ON).await;
        replica.end();
        if is_told {
            self.store.put(&key, None);
        }
        Ok(())
    }

    async fn replace(&self, replica: &Arc<Replica>) -> io::Result<()> {
        let next = self.start(replica.service, replica.rank).await?;
        let mut places = self.places();
        if let Some(place) = places.iter_mut().find(|r| r.id == replica.id) {
            *place = next;
        }
        Ok(())
    }

    /// Key that the newest configuration brought.
    pub(super) fn new_key(&self) -> String {
        self.config().key.clone()
    }

    /// Key that the newest configuration removed.
    pub(super) fn removed_key(&self) -> Option<String> {
        self.config().removed.clone()
    }

    /// Writes the next configuration, with a new key in place of the last one.
    pub(super) fn publish(&self) {
        let mut config = self.config();
        config.version += 3;
        let version = config.version;
        config.removed = (!config.key.is_empty()).then(|| config.key.clone());
        config.key = format!("key-{version}");
        let (key, removed) = (config.key.clone(), config.removed.clone());
        drop(config);
        self.store.put(CONFIG_KEY, Some(&document(version, &key)));
        self.record.act(Act::Published(version));
        if let Some(removed) = removed {
            self.record.act(Act::Removed(removed));
        }
    }
}

fn document(version: u64, key: &str) -> String {
    let route = |name: &str, kind: &str, service: Service, attempts: u32| {
        let is_stream = kind == "streaming";
        let timeout = if is_stream { 8000 } else { PLAIN_TIMEOUT.as_millis() as u64 };
        let mut route = json!({
            "name": format!("r-{name}"), "host": HOST, "pathPrefix": format!("/{name}/"),
            "routeType": kind, "timeoutMs": timeout, "service": service.name(),
            "targetLatencyMs": if is_stream { 400 } else { 200 }, "maxAttempts": attempts,
            "priority": if is_stream { 1 } else { 2 }, "public": false,
        });
        if is_stream {
            route["sessionAffinity"] = true.into();
            route["streamResume"] = true.into();
            route["gapTargetMs"] = 120.into();
        }
        route
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "streaming", Service::Assistant, 2),
            route("book", "unsafe", Service::Ledger, 2),
            route("look", "safe", Service::Ledger, 3),
        ],
        "services": [
            {
                "name": "assistant", "healthPath": "/health", "maxConns": 400, "protocol": "h1",
                "tlsMode": false, "engineName": {
                    "slots": 10, "kvTokens": 310_000, "kvBytes": 96_256, "linkMbps": 92_000.0,
                    "stride": 6, "models": [{"name": "m"}], "step_ms": 5.85, "per_seq_ms": 0.355,
                    "context_per_k": 0.036, "read_per_s": 61_200.0, "pairs_per_m": 0.325,
                    "chunk": 512, "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 139},
                },
            },
            {"name": "ledger", "healthPath": "/health", "maxConns": 400, "protocol": "h1", "tlsMode": false},
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": "growers", "apiKeys": [STEADY_KEY], "priority": 1},
            {"name": "pickers", "apiKeys": [key], "priority": 1},
        ],
    })
    .to_string()
}
