//! A daemon as a process of its own, started from this very program.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use tokio::process::{Child, Command};

/// First port that is given.
const PORTS_FIRST: u16 = 10_000;

/// Ports that one process gives.
const PORTS_EACH: u16 = 400;

/// Processes that take different ports, by their ids.
const PORT_BLOCKS: u16 = 50;

/// Ports that this process has given or found taken.
static PORTS_GIVEN: AtomicU16 = AtomicU16::new(0);

/// Signals that a process is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Stop,
    Continue,
    Terminate,
}

/// A daemon and how it is started again.
pub(crate) struct Daemon {
    program: PathBuf,
    args: Vec<String>,
    child: Child,
}

impl Daemon {
    /// Starts the daemon `role`, `entry` or `agent`, with settings as overrides.
    pub(crate) fn spawn(role: &str, settings: &[(&str, String)]) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let mut args = vec![format!("run-{role}"), "--".to_owned()];
        for (place, value) in settings {
            args.push("--set".to_owned());
            args.push(format!("{place}={value}"));
        }
        let child = start(&program, &args)?;
        Ok(Self { program, args, child })
    }

    /// Kills the process and starts another.
    pub(crate) async fn replace(&mut self) -> io::Result<()> {
        self.child.kill().await?;
        self.child = start(&self.program, &self.args)?;
        Ok(())
    }

    /// Kills the process. [`Daemon::replace`] starts another.
    pub(crate) async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Asks the process to stop and waits until it has, then starts another.
    pub(crate) async fn renew(&mut self) -> io::Result<()> {
        self.signal(Signal::Terminate).await?;
        let ended = self.child.wait().await?;
        if !ended.success() {
            return Err(io::Error::other(format!("a stopping process ended by {ended}")));
        }
        self.child = start(&self.program, &self.args)?;
        Ok(())
    }

    /// Stops or continues the process, by its id.
    pub(crate) async fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = self.child.id() else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let name = match signal {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let done = Command::new("kill").args([name, &id.to_string()]).status().await?;
        if done.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }
}

fn start(program: &PathBuf, args: &[String]) -> io::Result<Child> {
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
}

/// An address that is free now. Its port lies below those that outgoing connections get, and is
/// given once.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    let first = PORTS_FIRST + (std::process::id() as u16 % PORT_BLOCKS) * PORTS_EACH;
    loop {
        let place = PORTS_GIVEN.fetch_add(1, Ordering::Relaxed);
        if place >= PORTS_EACH {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, first + place));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
