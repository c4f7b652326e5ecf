//! Transfers between entries over TCP, for those that the store does not serve.

use super::constants::{FRAME_BYTES, PULL_LIMIT};
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

/// Answers transfers until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, catalog: Rc<Catalog>) {
    loop {
        let stream = accept(&listener, "peer").await;
        let answer = timeout(PULL_LIMIT, answer(stream, catalog.clone()));
        tokio::task::spawn_local(async move {
            if let Ok(Err(error)) = answer.await {
                tracing::debug!(%error, "transfer to a peer broke off");
            }
        });
    }
}

async fn answer(stream: TcpStream, catalog: Rc<Catalog>) -> io::Result<()> {
    let mut frames = framed(stream);
    while let Some(frame) = frames.next().await {
        let pull: FetchRequest = postcard::from_bytes(&frame?).map_err(io::Error::other)?;
        let bytes = postcard::to_stdvec(&pulled(pull, &catalog)).map_err(io::Error::other)?;
        frames.send(Bytes::from(bytes)).await?;
    }
    Ok(())
}

fn pulled(pull: FetchRequest, catalog: &Catalog) -> FetchReply {
    match pull {
        FetchRequest::Config => catalog.active().map_or(FetchReply::Nothing, |held| {
            FetchReply::Config { raw: held.raw.to_vec(), revision: held.revision }
        }),
        FetchRequest::List => {
            catalog.directory_age().map_or(FetchReply::Nothing, |age| FetchReply::List {
                listed: catalog.with_directory(|d| d.list()),
                age_ms: age.as_millis() as u64,
            })
        }
    }
}

/// Asks the peer at `address` for a transfer.
///
/// # Errors
/// No connection, no answer in time, or bytes that are no answer.
pub(crate) async fn pull(address: SocketAddr, what: FetchRequest) -> io::Result<FetchReply> {
    let exchange = async {
        let mut frames = framed(TcpStream::connect(address).await?);
        let bytes = postcard::to_stdvec(&what).map_err(io::Error::other)?;
        frames.send(Bytes::from(bytes)).await?;
        let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        postcard::from_bytes(&frame).map_err(io::Error::other)
    };
    timeout(PULL_LIMIT, exchange).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
