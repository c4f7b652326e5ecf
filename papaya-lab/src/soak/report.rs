//! What is printed at the end of a soak.

use super::budget::Repeats;
use super::checks::View;
use super::constants::PRINTED_MAX;
use super::entry::Bounds;
use super::record::{Act, Breach, End, Fate, Kind, Seen, Service};
use std::fmt::Write;

/// Rules that are checked.
const RULES: [&str; 10] =
    ["LOST", "BUDGET", "TWICE", "REFUSED", "ORDER", "MIXED", "UNASKED", "DRAIN", "CONFIG", "ENDED"];

/// Result of a soak.
pub(super) struct Report {
    pub(super) breaches: Vec<Breach>,
    pub(super) text: String,
}

/// Checks all rules.
pub(super) fn check(seen: &Seen, entries: usize, bounds: Bounds) -> Report {
    let view = View::new(seen, entries);
    let (mut breaches, excused) = view.lost();
    breaches.extend(seen.breaches.iter().cloned());
    breaches.extend(view.unanswered());
    let repeats = Service::ALL.map(|s| Repeats::new(&view, s));
    breaches.extend(repeats.iter().filter_map(|r| r.breach(&view, bounds.slack)));
    breaches.extend(view.attempts());
    breaches.extend(view.deadlines());
    breaches.extend(view.ran_twice());
    breaches.extend(view.refused());
    breaches.extend(view.unasked());
    breaches.extend(view.drained(bounds.drain));
    breaches.extend(view.keys());
    breaches.sort_by_key(|b| (RULES.iter().position(|r| *r == b.rule), b.at));
    let mut text = summary(&view, &repeats, bounds, excused);
    for rule in RULES {
        let found: Vec<_> = breaches.iter().filter(|b| b.rule == rule).collect();
        let _ = writeln!(
            text,
            "{rule}: {}",
            if found.is_empty() { "held".to_owned() } else { format!("{} breaches", found.len()) }
        );
        for breach in found.iter().take(PRINTED_MAX) {
            let _ = writeln!(text, "  {breach}");
        }
    }
    Report { breaches, text }
}

fn summary(view: &View<'_>, repeats: &[Repeats], bounds: Bounds, excused: usize) -> String {
    let seen = view.seen;
    let mut text = String::new();
    for kind in [Kind::Stream, Kind::Book, Kind::Look] {
        let of_kind: Vec<_> = seen.requests.values().filter(|r| r.kind == kind).collect();
        let count = |test: &dyn Fn(u16) -> bool| {
            let done = of_kind.iter().filter(|r| r.end == End::Answered);
            done.filter(|r| r.status.is_some_and(test)).count()
        };
        let ended = |end: End| of_kind.iter().filter(|r| r.end == end).count();
        let _ = writeln!(
            text,
            "{kind:?}: {} requests, {} served, {} refused (429, 503), {} other 4xx, {} other 5xx, {} closed, {} reset, {} left by the client",
            of_kind.len(),
            count(&|s| s < 300),
            count(&|s| s == 429 || s == 503),
            count(&|s| (400..500).contains(&s) && s != 429),
            count(&|s| s >= 500 && s != 503),
            ended(End::Closed),
            ended(End::Reset),
            ended(End::Left),
        );
    }
    for repeats in repeats {
        let worst = repeats.worst(bounds.slack);
        let _ = writeln!(
            text,
            "{}: {} repeats; largest window {} of {:.1} allowed ({:.0} %) for {} requests, ends at {:.1} s",
            repeats.service.name(),
            repeats.total(),
            worst.repeats,
            worst.allowed,
            worst.share() * 100.0,
            worst.requests,
            worst.end.as_secs_f64(),
        );
    }
    let acts = |test: &dyn Fn(&Act) -> bool| seen.acts.iter().filter(|(_, a)| test(a)).count();
    let fates = |fate: Fate| seen.arrivals.iter().filter(|a| a.fate == fate).count();
    let own = view.cut().filter(|(id, r)| view.is_own_cut(id, r)).count();
    let _ = writeln!(
        text,
        "entries: {} SIGTERM ({} overran), {} SIGKILL, {} freezes, {} SIGHUP; {} configurations, {} store faults",
        acts(&|a| matches!(a, Act::Terminated(_))),
        acts(&|a| matches!(a, Act::Overran(_))),
        acts(&|a| matches!(a, Act::Killed(_))),
        acts(&|a| matches!(a, Act::Frozen(_))),
        acts(&|a| matches!(a, Act::Reloaded(_))),
        acts(&|a| matches!(a, Act::Published(_))),
        acts(&|a| matches!(a, Act::StoreFault(_))),
    );
    let _ = writeln!(
        text,
        "replicas: {} arrivals, {} broke off, {} dropped by the caller, {} crashed; {own} requests cut by entries at any time, {excused} beside a stop excused by a disruption",
        seen.arrivals.len(),
        fates(Fate::BrokeOff),
        fates(Fate::Dropped),
        fates(Fate::Crashed),
    );
    let _ = writeln!(
        text,
        "timer of the soak: at most {:.1} ms late, {} of {} ticks over 50 ms late",
        seen.lag_max.as_secs_f64() * 1000.0,
        seen.lags,
        seen.ticks,
    );
    text
}
