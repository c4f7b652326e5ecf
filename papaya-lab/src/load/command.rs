//! The subcommand `load`.

use super::plan::{Credential, ModelTarget, PlainTarget, Plan};
use super::runner::run_plan;
use crate::daemon::{self, duration_arg, number_arg, threads_arg};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Calls in progress at most.
const IN_FLIGHT_MAX: usize = 20_000;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Sends load to a running system and verifies every answer")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry; may be given several times"),
        )
        .arg(
            Arg::new("workspace")
                .long("workspace")
                .value_name("NAME:CREDENTIAL")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(parse_credential)
                .help("A workspace; may be given several times"),
        )
        .arg(number_arg("rate", "100", "Calls a second"))
        .arg(duration_arg("duration", "10s", "How long calls are sent"))
        .arg(duration_arg("deadline", "5s", "Deadline of each call"))
        .args(target_args())
        .arg(number_arg("seed", "1", "Seed of the random choices"))
        .arg(threads_arg())
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the report there too, as JSON"),
        )
}

fn target_args() -> [Arg; 8] {
    [
        Arg::new("model-service").long("model-service").help("Service of model calls"),
        Arg::new("model").long("model").default_value("assistant").help("Model behind it"),
        Arg::new("plain-service").long("plain-service").help("Service of plain calls"),
        Arg::new("keyed")
            .long("keyed")
            .action(ArgAction::SetTrue)
            .help("Plain calls get an issued idempotency key first"),
        number_arg("model-percent", "50", "Share of model calls, of 100"),
        number_arg("tokens", "16", "Pieces of each streamed answer"),
        number_arg("prompt", "400", "Length of each prompt, in bytes"),
        number_arg("prefixes", "8", "Beginnings that a workspace's prompts share"),
    ]
}

fn parse_credential(text: &str) -> Result<Credential, String> {
    let (workspace, token) = text.split_once(':').ok_or("expected NAME:CREDENTIAL")?;
    Ok(Credential { workspace: workspace.to_owned(), token: token.to_owned() })
}

/// Runs the subcommand. Fails if an answer was wrong or cut.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let plan = plan(matches);
    let json = matches.get_one::<PathBuf>("json").cloned();
    daemon::run(daemon::value(matches, "threads"), async move {
        let report = run_plan(&plan, |line| eprintln!("{line}")).await;
        print!("{report}");
        if let Some(path) = json {
            let text = serde_json::to_vec_pretty(&report).map_err(io::Error::other)?;
            std::fs::write(path, text)?;
        }
        let right = report.faulty() == 0 && report.sent > 0;
        Ok(if right { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    })
}

fn plan(matches: &ArgMatches) -> Plan {
    let number = |name: &str| daemon::value::<u64>(matches, name);
    let model = matches.get_one::<String>("model-service").map(|service| ModelTarget {
        service: service.clone(),
        model: daemon::value(matches, "model"),
        version: 0,
        tokens: number("tokens") as u32,
        prompt: number("prompt") as usize,
        prefixes: number("prefixes") as u32,
    });
    let keyed = matches.get_flag("keyed");
    let plain = matches.get_one::<String>("plain-service").cloned();
    Plan {
        entries: matches.get_many("entry").unwrap_or_default().copied().collect(),
        workspaces: matches.get_many("workspace").unwrap_or_default().cloned().collect(),
        rate: number("rate").max(1) as f64,
        duration: daemon::duration(matches, "duration"),
        model,
        plain: plain.map(|service| PlainTarget { service, keyed }),
        model_share: number("model-percent").min(100) as f64 / 100.0,
        deadline: daemon::duration(matches, "deadline"),
        in_flight: IN_FLIGHT_MAX,
        seed: number("seed"),
        label: format!("load-{}", number("seed")),
    }
}
