//! The command line of `papaya-console`.

use super::server::Console;
use super::settings::ConsoleSettings;
use crate::telemetry::{LogFormat, open_log};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Parses `args` and runs the console until SIGTERM or SIGINT.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = command().get_matches_from(args);
    let settings = match read_settings(&matches) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.get_flag("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    open_log(settings.format, &settings.filter);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(serve(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

fn command() -> Command {
    Command::new("papaya-console")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operators' forms for the fleet document")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (INI)"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("SECTION.KEY=VALUE")
                .action(ArgAction::Append)
                .help("Overrides one setting; may be given several times"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validates the settings and exits"),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .help("Form of log lines"),
        )
}

fn read_settings(matches: &ArgMatches) -> Result<ConsoleSettings, crate::settings::SettingsError> {
    let file = matches.get_one::<PathBuf>("settings");
    let overrides: Vec<String> = matches.get_many("set").unwrap_or_default().cloned().collect();
    let mut settings = ConsoleSettings::open(file.map(PathBuf::as_path), &overrides)?;
    match matches.get_one::<String>("log-format").map(String::as_str) {
        Some("json") => settings.format = LogFormat::Json,
        Some(_) => settings.format = LogFormat::Text,
        None => {}
    }
    Ok(settings)
}

async fn serve(settings: ConsoleSettings) -> std::io::Result<()> {
    let _console = Console::bind(settings).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
