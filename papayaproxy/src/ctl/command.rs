//! The command line of `papayactl`.

use super::explain::explain;
use super::reference::{self, PAGES};
use super::status::survey;
use super::{codes, describe};
use crate::fleet::{Document, DocumentError, credential_digest, diff, parse};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for an invalid document, documents or processes that differ, or a request that no log contains.
const EXIT_DIFFERS: u8 = 1;

/// Exit code for a file or process that cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CommandOutput {
    pub(crate) text: String,
    pub(crate) exit: u8,
}

impl CommandOutput {
    fn success(text: String) -> Self {
        Self { text, exit: 0 }
    }
}

/// Parses `args`, runs the command and prints its output.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = command().get_matches_from(args);
    let output = execute(&matches);
    print!("{}", output.text);
    ExitCode::from(output.exit)
}

pub(crate) fn command() -> Command {
    Command::new("papayactl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and compares fleet documents, and reports the state of a fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Validates a fleet document; exit code 1 if it is invalid")
                .arg(file_arg("document", "The document")),
        )
        .subcommand(
            Command::new("diff")
                .about("Compares two fleet documents; exit code 1 if they differ")
                .arg(file_arg("old", "The document before"))
                .arg(file_arg("new", "The document after")),
        )
        .subcommand(
            Command::new("status")
                .about("Shows the document in force on each process; exit code 1 if they differ")
                .arg(
                    Arg::new("process")
                        .required(true)
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Operations HTTP address of each process"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains from log files how a request was routed")
                .arg(Arg::new("request").required(true).help("The value of papaya-request"))
                .arg(file_arg("log", "Log files, as text or JSON").num_args(1..)),
        )
        .subcommand(
            Command::new("digest")
                .about(
                    "Prints the digest of a credential, in the form used by documents and settings",
                )
                .arg(file_arg("credential", "File with the credential on one line")),
        )
        .subcommand(
            Command::new("reference")
                .about("Prints a page of the documentation")
                .arg(Arg::new("page").required(true).value_parser(PAGES)),
        )
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

pub(crate) fn execute(matches: &ArgMatches) -> CommandOutput {
    match matches.subcommand() {
        Some(("check", m)) => with_files(m, &["document"], |texts| check(&texts[0])),
        Some(("diff", m)) => {
            with_files(m, &["old", "new"], |texts| compare_documents(&texts[0], &texts[1]))
        }
        Some(("status", m)) => status(m),
        Some(("explain", m)) => with_files(m, &["log"], |texts| explain_logs(m, texts)),
        Some(("digest", m)) => with_files(m, &["credential"], |texts| digest(&texts[0])),
        Some(("reference", m)) => reference(m),
        _ => CommandOutput { text: command().render_help().to_string(), exit: EXIT_UNREADABLE },
    }
}

fn with_files(
    matches: &ArgMatches,
    names: &[&str],
    run: impl FnOnce(&[String]) -> CommandOutput,
) -> CommandOutput {
    let paths = names.iter().flat_map(|n| matches.get_many::<PathBuf>(n).unwrap_or_default());
    let read: Result<Vec<String>, String> = paths.map(|p| read_file(p)).collect();
    match read {
        Ok(texts) => run(&texts),
        Err(text) => CommandOutput { text, exit: EXIT_UNREADABLE },
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    let read = std::fs::read_to_string(path);
    read.map_err(|e| format!("{} {}: {e}\n", codes::FILE_UNREADABLE, path.display()))
}

fn check(text: &str) -> CommandOutput {
    match parse(text) {
        Ok(document) => CommandOutput::success(document_summary(&document)),
        Err(error) => invalid_document("the document", &error),
    }
}

fn document_summary(document: &Document) -> String {
    let Document { generation, digest, upstreams, services, workspaces, zones, .. } = document;
    let leaving = upstreams.values().filter(|u| u.leaves.is_some()).count();
    format!(
        "valid: generation {generation}, digest {digest}\n{} zones, {} services, {} upstreams \
         ({leaving} with a planned stop), {} workspaces\n",
        zones.len(),
        services.len(),
        upstreams.len(),
        workspaces.len(),
    )
}

fn invalid_document(subject: &str, error: &DocumentError) -> CommandOutput {
    let count = error.problems.len();
    CommandOutput { text: format!("{error}\n{subject} has {count} mistakes\n"), exit: EXIT_DIFFERS }
}

fn compare_documents(old: &str, new: &str) -> CommandOutput {
    let (old, new) = match (parse(old), parse(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(error), _) => {
            return CommandOutput {
                exit: EXIT_UNREADABLE,
                ..invalid_document("the old document", &error)
            };
        }
        (_, Err(error)) => {
            return CommandOutput {
                exit: EXIT_UNREADABLE,
                ..invalid_document("the new document", &error)
            };
        }
    };
    let changes = diff(&old, &new);
    if changes.is_empty() {
        return CommandOutput::success("no difference\n".to_owned());
    }
    CommandOutput { text: describe(&changes), exit: EXIT_DIFFERS }
}

fn status(matches: &ArgMatches) -> CommandOutput {
    let addresses: Vec<SocketAddr> =
        matches.get_many("process").unwrap_or_default().copied().collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let survey = match runtime {
        Ok(runtime) => runtime.block_on(survey(&addresses)),
        Err(error) => return CommandOutput { text: format!("{error}\n"), exit: EXIT_UNREADABLE },
    };
    let exit = match (survey.agrees(), survey.differs()) {
        (true, _) => 0,
        (_, true) => EXIT_DIFFERS,
        _ => EXIT_UNREADABLE,
    };
    CommandOutput { text: survey.to_string(), exit }
}

fn explain_logs(matches: &ArgMatches, logs: &[String]) -> CommandOutput {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let found: String = logs.iter().filter_map(|log| explain(log, request)).collect();
    if found.is_empty() {
        let text = format!("{} no line names request {request}\n", codes::REQUEST_UNKNOWN);
        return CommandOutput { text, exit: EXIT_DIFFERS };
    }
    CommandOutput::success(found)
}

fn digest(credential: &str) -> CommandOutput {
    let digest = credential_digest(credential.trim_end_matches(['\r', '\n']));
    CommandOutput::success(format!("{digest}\n"))
}

fn reference(matches: &ArgMatches) -> CommandOutput {
    let page = matches.get_one::<String>("page").map_or("", String::as_str);
    CommandOutput::success(reference::page(page).unwrap_or_default())
}
