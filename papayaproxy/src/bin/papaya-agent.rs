//! The agent daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayaproxy::daemon::run_agent(std::env::args_os())
}
