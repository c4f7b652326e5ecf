//! Cuts one zone off from the others and from the platform.

use papayaproxy::membership::AddressFilter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Stands for no zone.
const NONE: usize = usize::MAX;

/// Which zone is cut off, if any.
#[derive(Clone)]
pub(crate) struct Cuts {
    zone: Arc<AtomicUsize>,
    first_port: u16,
    per_zone: usize,
    zones: usize,
}

impl Cuts {
    /// No zone is cut off. Zones hold consecutive ports.
    pub(crate) fn new(first_port: u16, per_zone: usize, zones: usize) -> Self {
        Self { zone: Arc::new(AtomicUsize::new(NONE)), first_port, per_zone, zones }
    }

    /// Cuts a zone off.
    pub(crate) fn cut(&self, zone: usize) {
        self.zone.store(zone, Ordering::SeqCst);
    }

    /// Heals the cut.
    pub(crate) fn heal(&self) {
        self.zone.store(NONE, Ordering::SeqCst);
    }

    /// What a process of `zone` may talk to.
    pub(crate) fn allow(&self, zone: usize) -> AddressFilter {
        let cuts = self.clone();
        Arc::new(move |to| {
            let cut = cuts.zone.load(Ordering::Relaxed);
            cut == NONE || (zone == cut) == (cuts.zone_of(to) == Some(cut))
        })
    }

    /// The zone that an address lies in; none for the platform.
    fn zone_of(&self, address: SocketAddr) -> Option<usize> {
        let place = usize::from(address.port().checked_sub(self.first_port)?);
        let zone = place / self.per_zone;
        (zone < self.zones).then_some(zone)
    }
}
