//! Queries processes for the fleet document they have in force.

use super::codes;
use super::constants::QUERIES_MAX;
use super::fetch::{FetchError, fetch};
use crate::telemetry::Status;
use futures_util::StreamExt;
use indexmap::{IndexMap, IndexSet};
use std::fmt::{self, Write};
use std::net::SocketAddr;

/// Status response of a process.
#[derive(Debug)]
pub struct Answered {
    /// Operations HTTP address of the process.
    pub address: SocketAddr,
    /// The reported status, or why it could not be read.
    pub status: Result<Status, FetchError>,
}

/// Status responses of a set of processes.
#[derive(Debug)]
pub struct Survey {
    /// One per queried address, in the same order.
    pub answers: Vec<Answered>,
}

/// Queries the status of each process.
pub async fn survey(addresses: &[SocketAddr]) -> Survey {
    let queries = futures_util::stream::iter(addresses.iter().copied()).map(query);
    Survey { answers: queries.buffered(QUERIES_MAX).collect().await }
}

async fn query(address: SocketAddr) -> Answered {
    let status = match fetch(address, "/status").await {
        Ok(body) => serde_json::from_slice(&body)
            .map_err(|e| FetchError::Unreadable { address, detail: e.to_string() }),
        Err(error) => Err(error),
    };
    Answered { address, status }
}

impl Survey {
    /// Statuses that could be read, by availability zone.
    pub fn zones(&self) -> IndexMap<&str, Vec<&Status>> {
        let mut zones: IndexMap<&str, Vec<&Status>> = IndexMap::new();
        for status in self.statuses() {
            zones.entry(status.zone.as_str()).or_default().push(status);
        }
        zones.sort_unstable_keys();
        zones
    }

    /// Statuses that could be read.
    pub fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.answers.iter().filter_map(|a| a.status.as_ref().ok())
    }

    /// Whether every process responded and all have the same document in force.
    pub fn agrees(&self) -> bool {
        let all = self.answers.iter().all(|a| a.status.is_ok());
        all && !self.differs()
    }

    /// Whether processes that responded have different documents in force.
    pub fn differs(&self) -> bool {
        let documents: IndexSet<_> = self.statuses().map(|s| (s.generation, &s.digest)).collect();
        documents.len() > 1
    }
}

impl fmt::Display for Survey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let headings = ["zone", "process", "role", "generation", "digest", "age", "calls", "state"];
        let mut rows = vec![headings.map(str::to_owned)];
        for statuses in self.zones().values() {
            rows.extend(statuses.iter().map(|s| row(s)));
        }
        f.write_str(&table(&rows))?;
        for answer in &self.answers {
            if let Err(error) = &answer.status {
                writeln!(f, "{error}")?;
            }
        }
        match (self.agrees(), self.differs()) {
            (true, _) => writeln!(f, "all {} processes agree", self.answers.len()),
            (_, true) => writeln!(f, "{} processes differ", codes::GENERATIONS_DIFFER),
            _ => writeln!(f, "{} some do not answer", codes::PROCESS_UNREACHABLE),
        }
    }
}

/// Short name of a process's state, as shown to operators.
pub(crate) fn state_label(status: &Status) -> &'static str {
    match (status.ready, status.leaving) {
        (_, true) if status.is_drained() => "drained",
        (_, true) => "leaving",
        (true, _) => "ready",
        _ => "not ready",
    }
}

fn row(status: &Status) -> [String; 8] {
    [
        status.zone.clone(),
        status.name.clone(),
        status.role.clone(),
        status.generation.to_string(),
        status.digest.chars().take(8).collect(),
        format!("{:.1} s", status.document_age),
        status.calls.to_string(),
        state_label(status).to_owned(),
    ]
}

/// Formats rows as left-aligned columns.
fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
