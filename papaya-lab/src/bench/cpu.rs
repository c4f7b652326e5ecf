//! Processor time of a process, from /proc.

use std::io;
use std::time::Duration;

/// Ticks of processor time a second, as /proc counts it on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Fields between the command's name and the user time.
const FIELDS_BEFORE_USER: usize = 11;

/// Processor time that process `pid` has used, in user and system mode, over all its threads.
///
/// # Errors
/// The process is gone or /proc has another form.
pub(crate) fn cpu_time(pid: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    parse_stat(&stat).ok_or_else(|| io::Error::other("unexpected form of /proc/PID/stat"))
}

/// Reads user and system time from a line of /proc/PID/stat.
pub(crate) fn parse_stat(stat: &str) -> Option<Duration> {
    // The command's name may hold spaces and brackets; the last bracket ends it.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_ascii_whitespace().skip(FIELDS_BEFORE_USER);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS_PER_SECOND))
}

/// The machine's load average over the last minute, as /proc writes it; `?` where it does not.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().filter(|t| !t.is_empty()).unwrap_or("?").to_owned()
}
