//! The operators' console.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayaproxy::daemon::run_console(std::env::args_os())
}
