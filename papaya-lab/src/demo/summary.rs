//! What the demo found, for a first-time reader.

use super::stop::StopReport;
use crate::load::Report;
use papayaproxy::Name;
use std::fmt;

/// Where calls went.
#[derive(Clone, Debug)]
pub struct Place {
    /// The upstream.
    pub upstream: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Calls that it was given.
    pub taken: u64,
    /// Of these, streams that went on with another upstream's text.
    pub continued: u64,
    /// Of these, those whose text so far was not that of the request.
    pub prior_wrong: u64,
}

/// What the demo found.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The load and its answers.
    pub load: Report,
    /// Calls by upstream.
    pub places: Vec<Place>,
    /// The planned stops.
    pub stops: Vec<StopReport>,
    /// Whether agents were killed in place of planned stops.
    pub killed: bool,
    /// Calls of a plain service that ran more than once.
    pub repeated: usize,
    /// Calls of a plain service that were stated not to have run, and ran.
    pub lied: usize,
}

impl Summary {
    /// What did not go as promised; empty where all did.
    pub fn failures(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut expect = |holds: bool, text: String| {
            if !holds {
                found.push(text);
            }
        };
        let load = &self.load;
        expect(load.sent > 0, "no request was sent".to_owned());
        expect(load.skipped == 0, format!("{} requests could not be sent", load.skipped));
        expect(load.faulty() == 0, format!("{} answers were wrong or cut", load.faulty()));
        expect(self.repeated == 0, format!("{} calls ran more than once", self.repeated));
        let wrong: u64 = self.places.iter().map(|p| p.prior_wrong).sum();
        expect(wrong == 0, format!("{wrong} streams went on after a foreign text"));
        expect(self.lied == 0, format!("{} calls ran that were stated not to", self.lied));
        if !self.killed {
            found.extend(self.stop_failures());
        }
        found
    }

    /// What a planned stop must not do, and a kill may.
    fn stop_failures(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut expect = |holds: bool, text: String| {
            if !holds {
                found.push(text);
            }
        };
        let load = &self.load;
        let unanswered = load.sent.saturating_sub(load.outcome("completed"));
        expect(unanswered == 0, format!("{unanswered} requests were not completed"));
        expect(!self.stops.is_empty(), "no planned stop was performed".to_owned());
        for stop in &self.stops {
            let name = &stop.upstream;
            expect(stop.late == 0, format!("{name} got {} calls after the limit", stop.late));
            expect(stop.drained.is_some(), format!("{name} was not drained"));
        }
        found
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.load)?;
        writeln!(f, "where they went")?;
        for place in &self.places {
            let Place { upstream, zone, taken, continued, .. } = place;
            write!(f, "  {upstream:16} {zone:8} {taken:6} calls")?;
            match continued {
                0 => writeln!(f)?,
                _ => writeln!(f, ", {continued} of them went on with another's stream")?,
            }
        }
        if !self.killed {
            writeln!(f, "\nplanned stops under load")?;
        }
        for stop in &self.stops {
            let drained = stop
                .drained
                .map_or("not drained".to_owned(), |d| format!("drained {}", seconds(d)));
            let last = seconds(stop.last_call);
            writeln!(
                f,
                "  {:16} {} calls in progress; last new call {last} after its leave was published, {drained}; then stopped",
                stop.upstream, stop.active
            )?;
        }
        let failures = self.failures();
        if failures.is_empty() {
            return match self.killed {
                true => writeln!(
                    f,
                    "\nEach request got a stated outcome that was true, none ran twice."
                ),
                false => writeln!(f, "\nNo request was cut, none ran twice."),
            };
        }
        writeln!(f, "\nNOT AS PROMISED")?;
        failures.iter().try_for_each(|text| writeln!(f, "  {text}"))
    }
}

fn seconds(time: std::time::Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}
