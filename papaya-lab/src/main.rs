//! Command line of the lab: each slice brings its own subcommands.

use std::process::ExitCode;

fn main() -> ExitCode {
    papaya_lab::run(std::env::args_os())
}
