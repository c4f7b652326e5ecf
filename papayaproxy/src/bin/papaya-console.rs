//! The operators' console.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayaproxy::console::run(std::env::args_os())
}
