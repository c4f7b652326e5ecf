//! A stream and the body that a reader of it gets.

use super::text::{Piece, piece_text};
use crate::http::body::{Body, streamed};
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// What ends a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    Done,
    Cancelled,
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) next: u32,
    pub(crate) phase: Phase,
}

/// A stream. Its text follows from the hash, so only the progress is kept.
pub(crate) struct Stream {
    pub(crate) id: u64,
    pub(crate) first: u32,
    hash: u64,
    progress: watch::Sender<Progress>,
    readers: AtomicUsize,
}

impl Stream {
    pub(crate) fn new(id: u64, hash: u64, first: u32) -> Self {
        let progress = watch::Sender::new(Progress { next: first, phase: Phase::Running });
        Self { id, first, hash, progress, readers: AtomicUsize::new(0) }
    }

    pub(crate) fn advance(&self, next: u32, done: bool) {
        let phase = if done { Phase::Done } else { Phase::Running };
        self.progress.send_replace(Progress { next, phase });
    }

    pub(crate) fn cancel(&self) {
        self.progress.send_modify(|p| p.phase = Phase::Cancelled);
    }

    pub(crate) fn is_running(&self) -> bool {
        self.progress.borrow().phase == Phase::Running
    }

    pub(crate) fn has_reader(&self) -> bool {
        self.readers.load(Ordering::Relaxed) > 0
    }
}

/// Counts one reader of a stream while it lives.
struct Reader {
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    next: u32,
    /// Index at which the connection is cut.
    cut: Option<u32>,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.readers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The stream's pieces from `from` on as an event stream, cut after `cut` pieces if that is set.
pub(crate) fn body(stream: &Arc<Stream>, from: u32, cut: u32) -> Body {
    stream.readers.fetch_add(1, Ordering::Relaxed);
    let progress = stream.progress.subscribe();
    let cut = (cut > 0).then_some(from.saturating_add(cut));
    let reader = Reader { stream: stream.clone(), progress, next: from, cut, ended: false };
    streamed(futures_util::stream::unfold(reader, read_more))
}

async fn read_more(mut reader: Reader) -> Option<(io::Result<Bytes>, Reader)> {
    loop {
        if reader.ended {
            return None;
        }
        let now = *reader.progress.borrow_and_update();
        if reader.cut.is_some_and(|cut| reader.next >= cut) {
            reader.ended = true;
            return Some((Err(io::ErrorKind::ConnectionAborted.into()), reader));
        }
        let until = reader.cut.map_or(now.next, |cut| now.next.min(cut));
        if reader.next < until || now.phase == Phase::Done {
            let ended = now.phase == Phase::Done && until == now.next;
            let bytes = events(reader.stream.hash, reader.next, until, ended);
            reader.next = reader.next.max(until);
            reader.ended = ended;
            return Some((Ok(bytes), reader));
        }
        if now.phase == Phase::Cancelled || reader.progress.changed().await.is_err() {
            return None;
        }
    }
}

fn events(hash: u64, from: u32, until: u32, ended: bool) -> Bytes {
    let mut text = String::new();
    for index in from..until {
        let piece = Piece { index, text: piece_text(hash, index) };
        let json = serde_json::to_string(&piece).unwrap_or_default();
        text.push_str("data: ");
        text.push_str(&json);
        text.push_str("\n\n");
    }
    if ended {
        text.push_str("data: [DONE]\n\n");
    }
    text.into()
}
