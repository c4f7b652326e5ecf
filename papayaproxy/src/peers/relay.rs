//! Fetches of the configuration and the upstream list between entries, over TCP, for entries that
//! cannot reach the store.

use super::constants::{FETCH_TIMEOUT, FRAME_BYTES};
use super::message::{FetchReply, FetchRequest};
use crate::base::accept::accept;
use crate::catalog::Catalog;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Serves fetches by peers until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, catalog: Rc<Catalog>) {
    loop {
        let stream = accept(&listener, "peer").await;
        let answer = timeout(FETCH_TIMEOUT, answer(stream, catalog.clone()));
        tokio::task::spawn_local(async move {
            if let Ok(Err(error)) = answer.await {
                tracing::debug!(%error, "fetch by a peer failed");
            }
        });
    }
}

async fn answer(stream: TcpStream, catalog: Rc<Catalog>) -> io::Result<()> {
    let mut frames = framed(stream);
    while let Some(frame) = frames.next().await {
        let request: FetchRequest = postcard::from_bytes(&frame?).map_err(io::Error::other)?;
        let bytes = postcard::to_stdvec(&reply(request, &catalog)).map_err(io::Error::other)?;
        frames.send(Bytes::from(bytes)).await?;
    }
    Ok(())
}

fn reply(request: FetchRequest, catalog: &Catalog) -> FetchReply {
    match request {
        FetchRequest::Config => catalog.active().map_or(FetchReply::Nothing, |active| {
            FetchReply::Config { raw: active.raw.to_vec(), revision: active.revision }
        }),
        FetchRequest::List => {
            catalog.directory_age().map_or(FetchReply::Nothing, |age| FetchReply::List {
                listed: catalog.with_directory(|d| d.list()),
                revision: catalog.list_revision(),
                age_ms: age.as_millis() as u64,
            })
        }
    }
}

/// Fetches `what` from the peer at `address`.
///
/// # Errors
/// The connection fails, no reply arrives within [`FETCH_TIMEOUT`], or the reply cannot be decoded.
pub(crate) async fn fetch(address: SocketAddr, what: FetchRequest) -> io::Result<FetchReply> {
    let exchange = async {
        let mut frames = framed(TcpStream::connect(address).await?);
        let bytes = postcard::to_stdvec(&what).map_err(io::Error::other)?;
        frames.send(Bytes::from(bytes)).await?;
        let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        postcard::from_bytes(&frame).map_err(io::Error::other)
    };
    timeout(FETCH_TIMEOUT, exchange).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
