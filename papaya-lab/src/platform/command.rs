//! The subcommand `platform`.

use super::server::{Platform, PlatformSettings, bind};
use crate::daemon::{self, duration_arg, listen_arg, number_arg, threads_arg};
use clap::{Arg, ArgMatches, Command, value_parser};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("platform")
        .about("Stand-in for the platform: configuration, host list and weights")
        .arg(listen_arg())
        .arg(threads_arg())
        .arg(
            Arg::new("document")
                .long("document")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Fleet document that is published from the start"),
        )
        .arg(number_arg("calls", "2000", "Calls that are answered, a second"))
        .arg(duration_arg("host-lag", "2s", "How late the host list is"))
        .arg(number_arg("weight-rate", "268435456", "Rate of the weight store, bytes a second"))
        .arg(number_arg("blob-size", "8388608", "Size of every blob of weights, in bytes"))
}

/// Runs the subcommand until it is told to stop.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let settings = PlatformSettings {
        listen: daemon::value(matches, "listen"),
        calls: daemon::value::<u64>(matches, "calls").min(u64::from(u32::MAX)) as u32,
        host_lag: daemon::duration(matches, "host-lag"),
        weight_rate: daemon::value::<u64>(matches, "weight-rate").max(1),
        blob_size: daemon::value(matches, "blob-size"),
    };
    let threads = daemon::value(matches, "threads");
    let document = matches.get_one::<PathBuf>("document").cloned();
    daemon::serve("platform", threads, open(settings, document), Platform::addr)
}

async fn open(settings: PlatformSettings, document: Option<PathBuf>) -> io::Result<Platform> {
    let platform = bind(settings).await?;
    if let Some(path) = document {
        platform.publish(std::fs::read(path)?);
    }
    Ok(platform)
}
