//! The entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayaproxy::daemon::run_entry(std::env::args_os())
}
