//! Cap'n Proto RPC connections between daemons.

use crate::account::{Client, ClientAccount, ClientClass};
use crate::auth::{AuthError, Keys};
use crate::peer_reader::PeerReader;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::io::{BufReader, BufWriter};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use yuccalink_protocol::peer_capnp::peer;

/// Maximum number of open connections from other daemons.
pub const CONNECTIONS_MAX: usize = 256;
/// Receive buffer of a connection, in bytes; the kernel may hold twice as much.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of a message, in words of 8 bytes: 32 MiB.
const MESSAGE_WORDS_MAX: usize = 4 * 1024 * 1024;
/// Time limit for establishing a connection to another daemon.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Reader = tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>;
type Network = VatNetwork<BufReader<PeerReader<Reader>>>;

/// A connection to another daemon; dropping it closes it.
pub struct RpcConnection {
    /// Client for calls to the other daemon.
    pub peer: peer::Client,
    task: tokio::task::AbortHandle,
}

impl Drop for RpcConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn network(stream: TcpStream, side: Side, client: Arc<Client>) -> io::Result<Network> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    let reader = BufReader::new(PeerReader::new(reader.compat(), client, side == Side::Server));
    let writer = BufWriter::new(writer.compat_write());
    Ok(VatNetwork::new(reader, writer, side, options))
}

/// Connects to the daemon at `address`. Must be called on a `LocalSet`.
///
/// # Errors
/// [`AuthError`] if no connection is established within [`CONNECT_TIMEOUT`] or the
/// handshake with `keys` fails.
pub async fn connect(
    address: SocketAddr,
    keys: &Keys,
    account: &Arc<ClientAccount>,
) -> Result<RpcConnection, AuthError> {
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    keys.outgoing_handshake(&mut stream).await?;
    let mut system = RpcSystem::new(
        Box::new(network(stream, Side::Client, account.open(ClientClass::Peers).into())?),
        None,
    );
    let peer: peer::Client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = system.await {
            log::debug!("connection to daemon {address} ended: {error}");
        }
    });
    Ok(RpcConnection { peer, task: task.abort_handle() })
}

async fn serve(
    mut stream: TcpStream,
    service: peer::Client,
    keys: &Keys,
    client: Arc<Client>,
) -> Result<(), AuthError> {
    keys.incoming_handshake(&mut stream).await?;
    let network = network(stream, Side::Server, client)?;
    let system = RpcSystem::new(Box::new(network), Some(service.client));
    if let Err(error) = system.await {
        log::debug!("a daemon's connection ended: {error}");
    }
    Ok(())
}

/// Accepts connections from other daemons without end and serves each with a clone of
/// `service`. Must run on a `LocalSet`. A failed accept is logged and retried after 100 ms.
pub async fn accept(
    listener: TcpListener,
    service: peer::Client,
    keys: Keys,
    account: Arc<ClientAccount>,
) {
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("cannot bound the buffers of daemons' connections: {error}");
    }
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a daemon's connection: {error}; trying again");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let client = match account.connect(ClientClass::Peers) {
            Ok(client) => Arc::new(client),
            Err(why) => {
                log::debug!("connection from {from} refused: {why}");
                continue;
            }
        };
        let (service, keys) = (service.clone(), keys.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                result = serve(stream, service, &keys, client.clone()) => {
                    if let Err(error) = result {
                        log::warn!("connection from {from}: {error}");
                    }
                }
                () = client.sent_away() => log::debug!("connection from {from} gave way"),
            }
        });
    }
}
