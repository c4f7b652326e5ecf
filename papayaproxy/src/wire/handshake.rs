//! Opens a link: both sides exchange hellos and derive the session keys from a shared key.

use super::codec::{Direction, FrameDecoder, FrameEncoder};
use super::constants::{HELLO_BYTES_MAX, LINK_VERSION};
use super::error::{
    HandshakeSnafu, KeyUnknownSnafu, MalformedSnafu, OversizedSnafu, RefusedSnafu, WireError,
};
use super::frame::Hello;
use super::seal::{TAG_BYTES, tag, tags_match};
use super::secret::{Secret, Secrets};
use crate::base::name::{Incarnation, Name};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Identity of a process, as sent to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the process.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Result of a successful handshake.
pub(crate) struct Session {
    pub(crate) peer: Identity,
    pub(crate) encoder: FrameEncoder,
    pub(crate) decoder: FrameDecoder,
}

/// Opens a link as the side that connected.
pub(crate) async fn connect(
    stream: &mut TcpStream,
    identity: &Identity,
    secrets: &Secrets,
) -> Result<Session, WireError> {
    let ours = hello(identity, secrets.current.id);
    write_hello(stream, &ours, &secrets.current, b"").await?;
    let challenge = ours.nonce;
    let theirs = read_hello(stream, secrets, &challenge).await?;
    let secret = secrets.find(theirs.key).context(KeyUnknownSnafu { id: theirs.key })?;
    Ok(session(secret, &ours, &theirs, true))
}

/// Opens a link as the side that accepted.
pub(crate) async fn accept(
    stream: &mut TcpStream,
    identity: &Identity,
    secrets: &Secrets,
) -> Result<Session, WireError> {
    let theirs = read_hello(stream, secrets, b"").await?;
    let secret = secrets.find(theirs.key).context(KeyUnknownSnafu { id: theirs.key })?;
    // The reply is authenticated with the client's key: during a key rotation the client may know
    // only that one.
    let ours = hello(identity, secret.id);
    write_hello(stream, &ours, secret, &theirs.nonce).await?;
    Ok(session(secret, &theirs, &ours, false))
}

fn hello(identity: &Identity, key: u8) -> Hello {
    Hello {
        version: LINK_VERSION,
        key,
        nonce: rand::random(),
        name: identity.name.clone(),
        incarnation: identity.incarnation,
    }
}

/// Writes a hello. Its authentication code covers the peer's nonce, which prevents replay of an
/// old reply.
async fn write_hello(
    stream: &mut TcpStream,
    hello: &Hello,
    secret: &Secret,
    challenge: &[u8],
) -> Result<(), WireError> {
    let content = postcard::to_stdvec(hello).context(MalformedSnafu)?;
    let code = tag(&secret.link, &[challenge, content.as_slice()].concat());
    let length = (content.len() + TAG_BYTES) as u16;
    let message = [&length.to_le_bytes(), content.as_slice(), &code].concat();
    stream.write_all(&message).await.context(RefusedSnafu)
}

async fn read_hello(
    stream: &mut TcpStream,
    secrets: &Secrets,
    challenge: &[u8],
) -> Result<Hello, WireError> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await.context(RefusedSnafu)?;
    let length = u16::from_le_bytes(length) as usize;
    ensure!(length <= HELLO_BYTES_MAX, OversizedSnafu { length });
    ensure!(length > TAG_BYTES, HandshakeSnafu { reason: "hello too short" });
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await.context(RefusedSnafu)?;
    let (content, found) = message.split_at(length - TAG_BYTES);
    // The hello is decoded before it is authenticated, since it has the number of the key.
    let hello: Hello = postcard::from_bytes(content).context(MalformedSnafu)?;
    ensure!(hello.version == LINK_VERSION, HandshakeSnafu { reason: "other protocol version" });
    let secret = secrets.find(hello.key).context(KeyUnknownSnafu { id: hello.key })?;
    let expected = tag(&secret.link, &[challenge, content].concat());
    ensure!(tags_match(found, &expected), HandshakeSnafu { reason: "hello not authentic" });
    Ok(hello)
}

fn session(secret: &Secret, client: &Hello, server: &Hello, is_client: bool) -> Session {
    let to_server = direction_key(secret, client, server, 0);
    let to_client = direction_key(secret, client, server, 1);
    let (send, receive) = if is_client { (to_server, to_client) } else { (to_client, to_server) };
    let peer = if is_client { server } else { client };
    Session {
        peer: Identity { name: peer.name.clone(), incarnation: peer.incarnation },
        encoder: FrameEncoder { direction: Direction::new(send) },
        decoder: FrameDecoder { direction: Direction::new(receive) },
    }
}

fn direction_key(secret: &Secret, client: &Hello, server: &Hello, direction: u8) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(&secret.link);
    hasher.update(&client.nonce);
    hasher.update(&server.nonce);
    hasher.update(&[direction]);
    *hasher.finalize().as_bytes()
}
