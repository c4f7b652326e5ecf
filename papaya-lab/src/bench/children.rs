//! Processes that the bench starts, and ends again.

use super::cpu::cpu_time;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process that is killed when it is dropped.
pub(crate) struct Role {
    child: Child,
}

impl Role {
    /// Starts a program that stands beside this one.
    pub(crate) fn start(program: &str, args: &[String]) -> io::Result<Self> {
        let mut command = Command::new(beside(program)?);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().map_err(|e| {
            io::Error::new(e.kind(), format!("cannot start {program}, is it built? {e}"))
        })?;
        Ok(Self { child })
    }

    /// Processor time that it has used.
    pub(crate) fn cpu_time(&self) -> io::Result<Duration> {
        cpu_time(self.child.id())
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn beside(program: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.with_file_name(program))
}
