//! Links between entries and replicas: TCP proxies whose faults change while connections are open.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes that are read at once.
const PIECE_BYTES: usize = 4096;

/// Bytes that a slow rate lets through at once, and the pause after them: 4 KB/s.
const TRICKLE_BYTES: usize = 80;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// What a link does to the bytes that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LinkManner {
    #[default]
    Fine,
    /// Delays bytes in both directions by this time, and up to half of it more.
    Delays(Duration),
    /// Holds what the entry sends, the end of a connection too, until the link heals.
    HoldsRequests,
    /// Holds what the replica sends.
    HoldsAnswers,
    /// Holds both directions.
    Holds,
    /// Loses both directions; connections that were used meanwhile are reset when the link heals.
    Drops,
    /// Resets connections.
    Resets,
    /// Passes on what the replica sends at a low rate.
    Trickles,
}

impl LinkManner {
    fn holds(self, direction: Direction) -> bool {
        match direction {
            Direction::ToReplica => matches!(self, Self::HoldsRequests | Self::Holds | Self::Drops),
            Direction::ToEntry => matches!(self, Self::HoldsAnswers | Self::Holds | Self::Drops),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToReplica,
    ToEntry,
}

/// The link of one entry to one replica.
pub(super) struct Link {
    /// Where the entry reaches the replica.
    pub(super) address: SocketAddr,
    pub(super) manner: watch::Sender<LinkManner>,
}

/// What was read from one end of a connection, and when it is due at the other one.
enum Piece {
    Data(Vec<u8>, Instant),
    /// The end of the connection, and whether it was reset.
    End(bool),
}

impl Link {
    /// Opens a link to `replica`, which accepts connections until `ended`.
    pub(super) async fn open(replica: SocketAddr, ended: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let manner = watch::Sender::new(LinkManner::Fine);
        let news = manner.clone();
        tokio::spawn(async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (news, ended) = (news.subscribe(), ended.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = carry(stream, replica, news) => {}
                            () = ended.cancelled() => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(Self { address, manner })
    }
}

/// Carries one connection. Its ends are those of the peers, or of the link.
async fn carry(entry: TcpStream, replica: SocketAddr, news: watch::Receiver<LinkManner>) {
    let Ok(replica) = TcpStream::connect(replica).await else {
        return close_with_reset(&entry);
    };
    for stream in [&entry, &replica] {
        // Without it the kernel would hold small pieces, which are the link's to hold.
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let (mut entry_in, mut entry_out) = entry.into_split();
    let (mut replica_in, mut replica_out) = replica.into_split();
    let both = async {
        let up = pump(&mut entry_in, &mut replica_out, Direction::ToReplica, news.clone());
        let down = pump(&mut replica_in, &mut entry_out, Direction::ToEntry, news.clone());
        tokio::pin!(up, down);
        // A proper end of one direction leaves the other one open.
        tokio::select! {
            is_reset = up.as_mut() => is_reset || down.await,
            is_reset = down.as_mut() => is_reset || up.await,
        }
    };
    let is_reset = tokio::select! {
        // First, so that nothing that a link has lost passes when it heals.
        biased;
        () = broken(news.clone()) => true,
        is_reset = both => is_reset,
    };
    if is_reset {
        close_with_reset(entry_in.as_ref());
        close_with_reset(replica_in.as_ref());
        // Dropping these would send a proper end first.
        entry_out.forget();
        replica_out.forget();
    }
}

/// Lets the close of `stream` send a reset.
fn close_with_reset(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "a link's connection is closed already");
    }
}

/// Waits until the link resets its connections, or heals after it has lost bytes.
async fn broken(mut news: watch::Receiver<LinkManner>) {
    let is_lossy = |m: &LinkManner| matches!(m, LinkManner::Drops | LinkManner::Resets);
    // A link that is dropped changes no more.
    let Ok(manner) = news.wait_for(is_lossy).await.map(|m| *m) else {
        return std::future::pending().await;
    };
    if manner == LinkManner::Drops && news.wait_for(|m| !is_lossy(m)).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Passes on one direction until it ends. Returns whether the connection has to be reset.
async fn pump(
    input: &mut OwnedReadHalf,
    output: &mut OwnedWriteHalf,
    direction: Direction,
    mut news: watch::Receiver<LinkManner>,
) -> bool {
    let (sender, mut pieces) = mpsc::unbounded_channel();
    let manner = news.clone();
    let read = async move {
        loop {
            let mut data = vec![0; PIECE_BYTES];
            let piece = match input.read(&mut data).await {
                Ok(0) => Piece::End(false),
                Err(_) => Piece::End(true),
                Ok(count) => {
                    data.truncate(count);
                    let delay = match *manner.borrow() {
                        LinkManner::Delays(time) => {
                            time.mul_f64(1.0 + (xxh3_64(&data) % 100) as f64 / 200.0)
                        }
                        _ => Duration::ZERO,
                    };
                    Piece::Data(data, Instant::now() + delay)
                }
            };
            let is_end = matches!(piece, Piece::End(_));
            if sender.send(piece).is_err() || is_end {
                return;
            }
        }
    };
    let write = async {
        let mut latest = Instant::now();
        while let Some(piece) = pieces.recv().await {
            if let Piece::Data(_, due) = &piece {
                latest = latest.max(*due);
            }
            sleep_until(latest).await;
            if news.wait_for(|m| !m.holds(direction)).await.is_err() {
                return true;
            }
            let data = match piece {
                Piece::Data(data, _) => data,
                Piece::End(is_reset) => return is_reset || output.shutdown().await.is_err(),
            };
            let trickles =
                direction == Direction::ToEntry && *news.borrow() == LinkManner::Trickles;
            let size = if trickles { TRICKLE_BYTES } else { PIECE_BYTES };
            for part in data.chunks(size) {
                if output.write_all(part).await.is_err() {
                    return true;
                }
                if trickles {
                    sleep(TRICKLE_PAUSE).await;
                }
            }
        }
        true
    };
    tokio::join!(read, write).1
}
