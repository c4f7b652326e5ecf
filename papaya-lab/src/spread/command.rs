//! The command line of the experiment.

use super::cluster::Cluster;
use super::parts::{self, Fault};
use super::plan::Plan;
use crate::daemon::{duration, duration_arg, number_arg, value};
use clap::{ArgMatches, Command};
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

/// Describes the subcommand.
pub(crate) fn command() -> Command {
    Command::new("spread")
        .about("Measures how fast a change of the fleet document is in force on every process")
        .arg(number_arg("zones", "3", "Availability zones"))
        .arg(number_arg("entries", "3", "Entries of each zone"))
        .arg(number_arg("agents", "6", "Agents of each zone"))
        .arg(number_arg("workspaces", "10", "Workspaces of the document"))
        .arg(number_arg("changes", "50", "Changes; 0 leaves this part out"))
        .arg(duration_arg("spacing", "500ms", "Time between two changes"))
        .arg(duration_arg("idle", "60s", "Idle time that is measured"))
        .arg(duration_arg("outage", "60s", "Time for which the platform is down, then stale"))
        .arg(number_arg("replacements", "100", "Replacements of entries"))
        .arg(number_arg("port", "17500", "First port"))
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let number = |name| value::<u64>(matches, name);
    let plan = Plan {
        zones: number("zones") as usize,
        entries: number("entries") as usize,
        agents: number("agents") as usize,
        workspaces: number("workspaces") as usize,
        changes: number("changes"),
        spacing: duration(matches, "spacing"),
        idle: duration(matches, "idle"),
        outage: duration(matches, "outage"),
        replacements: number("replacements"),
        port: number("port") as u16,
    };
    crate::daemon::run(1, async move {
        measure(plan).await?;
        Ok(ExitCode::SUCCESS)
    })
}

async fn measure(plan: Plan) -> io::Result<()> {
    println!("{} processes as tasks of one process: {plan:?}", plan.processes());
    let started = Instant::now();
    let mut cluster = Cluster::spawn(plan).await?;
    let sequence = Arc::new(AtomicU64::new(1));
    parts::start(&cluster, started).await;
    if !plan.idle.is_zero() {
        parts::idle(&cluster, &sequence).await;
    }
    parts::reports(&cluster, &sequence).await;
    if plan.changes > 0 {
        parts::changes(&mut cluster, &sequence, "changes").await;
    }
    if !plan.outage.is_zero() {
        parts::outage(&mut cluster, &sequence, Fault::Down).await?;
        parts::outage(&mut cluster, &sequence, Fault::Stale).await?;
        parts::cut(&mut cluster, &sequence).await;
    }
    parts::replacements(&mut cluster, &sequence).await
}
