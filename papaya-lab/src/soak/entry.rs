//! Entries and agents as processes of their own, each on a loopback address of its own.

use super::constants::{GRACE, ZONES};
use super::record::{Act, Record};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Ports, the same on each address.
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const PEER_PORT: u16 = 8229;
const OPS_PORT: u16 = 7340;

/// Entries that the settings name as seeds.
pub(super) const SEEDS_MAX: usize = 3;

/// First and last of the second bytes of the addresses.
const SECOND_FIRST: u8 = 80;
const SECOND_COUNT: u8 = 100;

/// Bounds that differ between deployments.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) slack: u64,
    pub(super) drain: Duration,
}

/// Where programs, settings and logs are.
#[derive(Clone, Debug)]
pub(super) struct Places {
    /// Directory of the programs; `None` runs the daemons out of this program.
    pub(super) programs: Option<PathBuf>,
    pub(super) scratch: PathBuf,
}

/// An entry, over all its incarnations.
pub(super) struct Entry {
    pub(super) number: usize,
    pub(super) front: SocketAddr,
    pub(super) ready: SocketAddr,
    /// Whether new connections go to it.
    pub(super) in_rotation: AtomicBool,
    places: Places,
    record: Arc<Record>,
    child: Mutex<Child>,
}

fn host(machine: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, SECOND_FIRST + high % SECOND_COUNT, low, machine as u8 + 1)
}

impl Entry {
    /// Starts entry `number` with `store` as its address of the store.
    pub(super) fn spawn(
        number: usize,
        entries: usize,
        store: SocketAddr,
        bounds: Bounds,
        places: &Places,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let at = |port: u16| SocketAddr::from((host(number), port));
        let seeds: Vec<_> =
            (0..entries.min(SEEDS_MAX)).map(|n| format!("{}:{PEER_PORT}", host(n))).collect();
        let settings = format!(
            "[process]\nname = entry-{number}\nzone = zone-{}\n\n\
             [gateway]\naddress = {}\nready = {}\npeers = {}\nseeds = {}\n\n[ops]\naddress = {}\n\n\
             [store]\naddress = {store}\n\n\
             [bounds]\nrevoke = 5000ms\ngrace = {}s\ndrain = {}ms\nevent_delay = 200ms\n\n\
             [budget]\nratio = 0.2\nslack = {}\nwindow = 10s\n\n[log]\nformat = json\nfilter = info\n",
            ZONES[number % ZONES.len()],
            at(FRONT_PORT),
            at(READY_PORT),
            at(PEER_PORT),
            seeds.join(","),
            at(OPS_PORT),
            GRACE.as_secs(),
            bounds.drain.as_millis(),
            bounds.slack,
        );
        fs::write(places.scratch.join(format!("entry-{number}.ini")), settings)?;
        let child = start(places, "entry", number)?;
        record.act(Act::Started(number));
        Ok(Self {
            number,
            front: at(FRONT_PORT),
            ready: at(READY_PORT),
            in_rotation: AtomicBool::new(false),
            places: places.clone(),
            record,
            child: Mutex::new(child),
        })
    }

    fn restart(&self, child: &mut Child) -> io::Result<()> {
        *child = start(&self.places, "entry", self.number)?;
        self.record.act(Act::Started(self.number));
        Ok(())
    }

    fn signal(&self, child: &Child, signal: Signal) -> io::Result<()> {
        let id = child.id().ok_or(io::ErrorKind::NotFound)?;
        let id = i32::try_from(id).map_err(io::Error::other)?;
        Ok(signal::kill(Pid::from_raw(id), signal)?)
    }

    /// Stops the process as the platform does and starts the next one. Does nothing while another
    /// order to this entry is carried out.
    pub(super) async fn terminate(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        self.record.act(Act::Terminated(self.number));
        self.signal(&child, Signal::SIGTERM)?;
        match timeout(GRACE, child.wait()).await {
            Ok(status) => {
                let status = status?;
                self.record.act(Act::Stopped(self.number));
                if !status.success() {
                    let seen = format!("a stopping process ended by {status}");
                    self.record.breach("ENDED", Some(self.number), "-", seen);
                }
            }
            Err(_) => {
                self.record.act(Act::Overran(self.number));
                child.kill().await?;
            }
        }
        self.restart(&mut child)
    }

    /// Kills the process and starts the next one.
    pub(super) async fn kill(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        self.record.act(Act::Killed(self.number));
        child.kill().await?;
        self.restart(&mut child)
    }

    /// Freezes the process for a time.
    pub(super) async fn freeze(&self, time: Duration) -> io::Result<()> {
        let Ok(child) = self.child.try_lock() else { return Ok(()) };
        self.record.act(Act::Frozen(self.number));
        self.signal(&child, Signal::SIGSTOP)?;
        sleep(time).await;
        self.signal(&child, Signal::SIGCONT)?;
        self.record.act(Act::Thawed(self.number));
        Ok(())
    }

    /// Tells the process that its settings have changed.
    pub(super) async fn reload(&self) -> io::Result<()> {
        let Ok(child) = self.child.try_lock() else { return Ok(()) };
        self.record.act(Act::Reloaded(self.number));
        self.signal(&child, Signal::SIGHUP)
    }

    /// Starts the next process if this one has ended by itself.
    pub(super) fn look(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        if let Some(status) = child.try_wait()? {
            self.record.act(Act::Ended(self.number));
            let seen = format!("a process ended by itself: {status}");
            self.record.breach("ENDED", Some(self.number), "-", seen);
            self.restart(&mut child)?;
        }
        Ok(())
    }

    /// Ends the process for good.
    pub(super) async fn end(&self) -> io::Result<()> {
        self.in_rotation.store(false, Ordering::SeqCst);
        self.child.lock().await.kill().await
    }
}

fn start(places: &Places, role: &str, number: usize) -> io::Result<Child> {
    let name = format!("{role}-{number}");
    let file = places.scratch.join(format!("{name}.log"));
    let log = File::options().append(true).create(true).open(file)?;
    let mut command = match &places.programs {
        Some(programs) => Command::new(programs.join(format!("papaya-{role}"))),
        None => {
            let mut command = Command::new(std::env::current_exe()?);
            command.args([&format!("run-{role}"), "--"]);
            command
        }
    };
    let settings: &Path = &places.scratch.join(format!("{name}.ini"));
    command
        .arg("--direct")
        .env("PAPAYAPROXY_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}
