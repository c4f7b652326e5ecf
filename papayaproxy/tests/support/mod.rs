//! Stand-ins for the platform, and entries as processes, for tests in files of their own.

#![allow(dead_code, reason = "each test file uses a part")]

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which an entry that is not ready never will be; a test must not wait for ever.
const READY_MAX: Duration = Duration::from_secs(60);

/// Serves connections, request by request, until `handle` returns `false`.
pub fn serve(handle: impl Fn(&str, &mut TcpStream) -> bool + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), handle) = (stream, handle.clone()) else { continue };
            thread::spawn(move || {
                while read_head(&mut stream).is_some_and(|head| handle(&head, &mut stream)) {}
            });
        }
    });
    address
}

pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next().unwrap_or("")
}

/// A store that serves `config` and lists `replicas`, each with its service.
pub fn open_store(config: String, replicas: Vec<(&'static str, SocketAddr)>) -> SocketAddr {
    serve(move |head, stream| {
        let item = |key: &str, value: &str| {
            let value = BASE64_STANDARD.encode(value);
            format!(r#"{{"key":"{key}","value":"{value}","revision":3,"created":3,"atRev":5}}"#)
        };
        let target = head.split(' ').nth(1).unwrap_or_default();
        let body = if target.starts_with("/kv-key") {
            item("op/config", &config)
        } else if target.starts_with("/kv-range") {
            let entry = |(i, (service, address)): (usize, &(&str, SocketAddr))| {
                let value = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":60,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}}"#
                );
                item(&format!("servers/i-{i}"), &value)
            };
            let items: Vec<String> = replicas.iter().enumerate().map(entry).collect();
            format!(r#"{{"items":[{}],"hasMore":false,"atRev":5}}"#, items.join(","))
        } else {
            thread::sleep(Duration::from_millis(200));
            r#"{"events":[],"atRev":5}"#.to_owned()
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    })
}

/// Addresses of one entry that nobody listens at; they stay the same over its runs. They are on a
/// loopback address that no connection has as its source, else its port could be in use by one while
/// the entry starts again.
pub struct Place {
    pub name: String,
    pub ports: Vec<SocketAddr>,
}

/// First port of a place. The kernel gives ports from 32768 on to sockets without one, and one of
/// these on all addresses takes its port on each address.
const PORT_FIRST: u16 = 20_000;

/// Places for `count` entries on the loopback network `net`, which differs between tests.
pub fn free_places(net: u8, count: usize) -> Vec<Place> {
    // Entries of other tests, in this process or another one, must not bind what is free here.
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let [.., low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, net, low, CALLS.fetch_add(1, Ordering::SeqCst));
    let ports: Vec<_> =
        (0..count * 4).map(|n| SocketAddr::from((host, PORT_FIRST + n as u16))).collect();
    // A port that is in use fails the test here, by its number.
    let listeners: Vec<_> = ports.iter().map(TcpListener::bind).collect();
    for (listener, port) in listeners.into_iter().zip(&ports) {
        listener.unwrap_or_else(|error| panic!("{port} is not free: {error}"));
    }
    let place = |(i, p): (usize, &[SocketAddr])| Place { name: format!("e-{i}"), ports: p.into() };
    ports.chunks(4).enumerate().map(place).collect()
}

/// Log of the runs of an entry.
fn log_file(place: &Place, folder: &Path) -> PathBuf {
    folder.join(format!("{}.log", place.name))
}

pub fn start(place: &Place, folder: &Path) -> Child {
    let file = folder.join(&place.name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_papaya-entry"));
    command.arg("--direct").arg("--settings").arg(file);
    let log = File::options().create(true).append(true).open(log_file(place, folder)).unwrap();
    command.stdin(Stdio::null()).stdout(log).spawn().unwrap()
}

pub fn is_ready(place: &Place) -> bool {
    let Ok(mut stream) = TcpStream::connect(place.ports[1]) else { return false };
    let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    read_head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Waits until all entries are ready; `folder` has their logs.
pub fn await_ready(places: &[Place], entries: &mut Entries, folder: &Path) {
    let began = Instant::now();
    while let Some(place) = places.iter().find(|p| !is_ready(p)) {
        let ended = entries.0.iter_mut().find_map(|e| e.try_wait().unwrap());
        if let Some(status) = ended {
            let log = std::fs::read_to_string(log_file(place, folder)).unwrap();
            panic!("an entry has ended ({status}), and {} is not ready: {log}", place.name);
        }
        assert!(began.elapsed() < READY_MAX, "{} does not become ready", place.name);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Running entries; killed when dropped, also if the test fails.
pub struct Entries(pub Vec<Child>);

impl Drop for Entries {
    fn drop(&mut self) {
        for entry in &mut self.0 {
            entry.kill().unwrap();
            entry.wait().unwrap();
        }
    }
}
