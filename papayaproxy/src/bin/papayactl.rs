//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayaproxy::ctl::run(std::env::args_os())
}
