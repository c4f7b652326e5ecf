//! Runs one case of the review: `rig CASE RECORD`, from the root of the repository.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod fleet;
mod net;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = fleet::Record::start();
    record.note(format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "events" => cases::events::run(&record, trouble),
        "seats" => cases::seats::run(&record, trouble),
        "silence" => cases::silence::run(&record, trouble),
        "stop" => cases::stop::run(&record, trouble),
        "drain" => cases::drain::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match &outcome {
        Ok(breaks) => {
            record.note(format!("the rule was broken {breaks} times"));
            u8::from(*breaks > 0)
        }
        Err(error) => {
            record.note(format!("could not run: {error}"));
            2
        }
    };
    record.note(format!("exit {code}"));
    if let Err(error) = record.write(file) {
        eprintln!("{file}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
