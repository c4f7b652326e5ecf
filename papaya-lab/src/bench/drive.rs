//! Sends requests over keep-alive connections and measures each one.

use crate::http::Client;
use crate::load::record::{histogram, note};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The request that is sent over and over.
#[derive(Clone)]
pub(crate) struct Shot {
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl Shot {
    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::post(&self.path).header("host", "papaya");
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request.body(Full::new(self.body.clone())).expect("the shot's parts fit a request")
    }

    /// Sends one request and checks its echo.
    pub(crate) async fn fire(&self, client: &Client) -> io::Result<()> {
        let reply = client.send(self.request()).await.map_err(io::Error::other)?;
        let status = reply.status();
        let body = reply.collect().await.map_err(io::Error::other)?;
        if status == 200 && body == self.body {
            return Ok(());
        }
        Err(io::Error::other(format!("status {status} with {} bytes", body.len())))
    }
}

/// How a run is driven.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Connections, each with one request at a time.
    pub(crate) connections: usize,
    /// Requests a second over all connections; `None` for as many as they can.
    pub(crate) rate: Option<f64>,
    /// How long it lasts.
    pub(crate) duration: Duration,
}

/// What a run found. Times count from the sending of a request.
pub(crate) struct Run {
    pub(crate) times: Histogram<u64>,
    pub(crate) failed: u64,
    pub(crate) elapsed: Duration,
}

impl Run {
    /// Requests a second.
    pub(crate) fn rate(&self) -> f64 {
        self.times.len() as f64 / self.elapsed.as_secs_f64()
    }
}

/// Drives the server at `target`.
pub(crate) async fn drive(target: SocketAddr, shot: &Shot, pace: Pace) -> Run {
    let started = Instant::now();
    let tasks: Vec<_> = (0..pace.connections)
        .map(|number| tokio::spawn(drive_one(target, shot.clone(), pace, number, started)))
        .collect();
    let mut run = Run { times: histogram(), failed: 0, elapsed: Duration::ZERO };
    for task in tasks {
        if let Ok(part) = task.await {
            run.failed += part.failed;
            let _ = run.times.add(part.times);
        }
    }
    run.elapsed = started.elapsed();
    run
}

async fn drive_one(
    target: SocketAddr,
    shot: Shot,
    pace: Pace,
    number: usize,
    started: Instant,
) -> Run {
    let client = Client::open(target);
    let mut run = Run { times: histogram(), failed: 0, elapsed: Duration::ZERO };
    let interval = pace.rate.map(|r| Duration::from_secs_f64(pace.connections as f64 / r));
    let part = number as f64 / pace.connections as f64;
    let mut due = started + interval.map_or(Duration::ZERO, |i| i.mul_f64(part));
    while started.elapsed() < pace.duration {
        if let Some(interval) = interval {
            sleep_until(due).await;
            due += interval;
        }
        let sent = Instant::now();
        match shot.fire(&client).await {
            Ok(()) => note(&mut run.times, sent.elapsed()),
            Err(_) => run.failed += 1,
        }
    }
    run
}
