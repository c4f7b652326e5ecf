//! The command line of a daemon.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "PAPAYAPROXY_SETTINGS";

const DIRECT_FLAG: &str = "direct";

fn settings_variable() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Flag that runs a daemon without links between entries and agents.
pub(crate) fn direct_arg(help: &'static str) -> Arg {
    Arg::new(DIRECT_FLAG).long(DIRECT_FLAG).action(ArgAction::SetTrue).help(help)
}

/// Command-line options of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Path of the settings file; `None` for defaults and overrides only.
    pub(crate) settings: Option<PathBuf>,
    /// Overrides of the form `section.key=value`.
    pub(crate) overrides: Vec<String>,
    /// Exit after the settings have been checked.
    pub(crate) check_only: bool,
    /// Run without links between entries and agents.
    pub(crate) direct: bool,
}

impl Options {
    pub(crate) fn read(matches: &ArgMatches) -> Self {
        let set = matches.get_many::<String>("set").into_iter().flatten();
        let mut overrides: Vec<String> = set.cloned().collect();
        if let Some(format) = matches.get_one::<String>("log-format") {
            overrides.push(format!("log.format={format}"));
        }
        Self {
            settings: matches.get_one::<PathBuf>("settings").cloned().or_else(settings_variable),
            overrides,
            check_only: matches.get_flag("check"),
            direct: matches
                .try_get_one::<bool>(DIRECT_FLAG)
                .ok()
                .flatten()
                .copied()
                .unwrap_or(false),
        }
    }
}

/// Builds the command line of the daemon `name`.
pub(crate) fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .args(settings_args())
        .args(log_args())
}

fn settings_args() -> [Arg; 3] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help_heading("Settings")
            .help("Reads settings from an INI file"),
        Arg::new("set")
            .long("set")
            .value_name("SECTION.KEY=VALUE")
            .action(ArgAction::Append)
            .help_heading("Settings")
            .help("Sets one value, overriding the file; may be repeated"),
        Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help_heading("Settings")
            .help("Checks the settings and exits"),
    ]
}

fn log_args() -> [Arg; 1] {
    [Arg::new("log-format")
        .long("log-format")
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .help_heading("Logs")
        .help("Format of the log lines on standard output")]
}
