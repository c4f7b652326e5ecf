//! Runs a stand-in as a process of its own, until it is told to stop.

use clap::{Arg, ArgMatches, value_parser};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Address that a stand-in listens on where none is given.
const LISTEN_DEFAULT: &str = "127.0.0.1:0";

/// The argument `--listen`.
pub(crate) fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value(LISTEN_DEFAULT)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on")
}

/// The argument `--threads`.
pub(crate) fn threads_arg() -> Arg {
    Arg::new("threads")
        .long("threads")
        .value_name("N")
        .default_value("2")
        .value_parser(value_parser!(u16).range(1..))
        .help("Traffic threads")
}

/// An argument `--NAME` that takes a duration such as `10ms`.
pub(crate) fn duration_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let parse = |text: &str| papayaproxy::settings::parse_duration(text);
    Arg::new(name)
        .long(name)
        .value_name("DURATION")
        .default_value(default)
        .value_parser(parse)
        .help(help)
}

/// An argument `--NAME` that takes a whole number.
pub(crate) fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// The value of an argument that has a default.
pub(crate) fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_else(|| panic!("argument {name} has a default"))
}

/// The value of a [`duration_arg`].
pub(crate) fn duration(matches: &ArgMatches, name: &str) -> Duration {
    value(matches, name)
}

/// Runs `task` on a runtime of `threads` threads. An error is printed and fails the process.
pub(crate) fn run<T: Future<Output = io::Result<ExitCode>>>(threads: u16, task: T) -> ExitCode {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(usize::from(threads)).enable_all();
    let finished = builder.build().and_then(|runtime| runtime.block_on(task));
    finished.unwrap_or_else(|error| {
        eprintln!("papaya-lab: {error}");
        ExitCode::FAILURE
    })
}

/// Binds a stand-in, prints where it listens and serves until SIGTERM or SIGINT.
pub(crate) fn serve<H, T>(name: &str, threads: u16, bind: T, addr: fn(&H) -> SocketAddr) -> ExitCode
where
    T: Future<Output = io::Result<H>>,
{
    run(threads, async {
        let handle = bind.await?;
        println!("{name} listens on {}", addr(&handle));
        wait_stop().await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
