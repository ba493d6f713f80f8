//! Mutual authentication of daemons with a shared key, before any other message on a
//! connection.
//!
//! The connecting side identifies its key by a short digest and sends a nonce. Each side
//! then sends an HMAC-SHA-256 over both nonces, so a recorded handshake cannot be
//! replayed. The traffic that follows is not encrypted: use a network that only the entry
//! VMs share.

use hmac::{Hmac, Mac};
use rand::TryRng as _;
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{fs, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Minimum length of a key, in bytes.
pub const KEY_MIN: usize = 32;
/// Maximum number of keys in a file.
pub const KEYS_MAX: usize = 16;
/// Time limit of the handshake; after it the connection is given up.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const MAGIC: &[u8; 6] = b"YUCCA1";
const NONCE_LEN: usize = 32;
const KEY_ID_LEN: usize = 8;
const MAC_LEN: usize = 32;
const NO_KEY_ID: [u8; KEY_ID_LEN] = [0; KEY_ID_LEN];
const ACCEPTED: u8 = 1;

/// Why the handshake between two daemons failed.
#[derive(Debug, displaydoc::Display)]
pub enum AuthError {
    /// the connection failed: {0}
    Io(io::Error),
    /// the other side did not finish the key handshake in time
    Timeout,
    /// the other side does not speak this protocol; check that its address is a daemon's --peer
    NotADaemon,
    /// the other side has no key, but this daemon requires one; give all daemons the same --peer-keys
    NoKey,
    /// the other side's key is not among this daemon's; put it into this daemon's --peer-keys
    UnknownKey,
    /// the other side does not know the key that it named
    WrongProof,
}

impl std::error::Error for AuthError {}

impl From<io::Error> for AuthError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Why a key file cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum KeyFileError {
    /// cannot read {path}: {source}
    Read {
        /// Path of the key file.
        path: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// {path} has no key; write one of at least 32 characters on a line of its own
    Empty {
        /// Path of the key file.
        path: Box<str>,
    },
    /// line {line} of {path} is too short for a key; use at least 32 characters, such as from `openssl rand -hex 32`
    Short {
        /// Path of the key file.
        path: Box<str>,
        /// Line, counted from 1.
        line: usize,
    },
    /// {path} has more than 16 keys; remove those that no daemon uses any more
    Many {
        /// Path of the key file.
        path: Box<str>,
    },
}

impl std::error::Error for KeyFileError {}

#[derive(Clone)]
struct Key {
    id: [u8; KEY_ID_LEN],
    secret: Box<[u8]>,
}

/// The keys of one daemon. Outgoing connections use the first key, incoming ones may use any.
/// The file is read again for each connection, so keys can be rotated without a restart.
#[derive(Clone, Default)]
pub struct Keys {
    file: Option<PathBuf>,
    /// Keys from the last time that the file was valid.
    loaded: Arc<Mutex<Vec<Key>>>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").field("file", &self.file).finish_non_exhaustive()
    }
}

impl Keys {
    /// Reads the keys from `file`; without a file, connections are not authenticated.
    ///
    /// # Errors
    /// [`KeyFileError`] if the file cannot be read or its content is invalid.
    ///
    /// ```
    /// # use yuccalink_transport::auth::Keys;
    /// assert!(Keys::open(None).is_ok());
    /// assert!(Keys::open(Some("/nowhere".into())).is_err());
    /// ```
    pub fn open(file: Option<PathBuf>) -> Result<Self, KeyFileError> {
        let keys = file.as_deref().map(read_keys).transpose()?.unwrap_or_default();
        Ok(Self { file, loaded: Arc::new(Mutex::new(keys)) })
    }

    fn load(&self) -> Option<Vec<Key>> {
        let file = self.file.as_ref()?;
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        match read_keys(file) {
            Ok(keys) => *loaded = keys,
            // An editor may truncate the file before it writes the new content. Connections
            // between daemons must not fail in that moment.
            Err(error) => log::error!("{error}; the keys read before stay in use"),
        }
        Some(loaded.clone())
    }

    /// Runs the handshake on an outgoing connection: verifies the proof of the other daemon and
    /// sends its own.
    ///
    /// # Errors
    /// [`AuthError`] if the handshake fails; the connection must then be dropped.
    pub async fn outgoing_handshake(&self, stream: &mut TcpStream) -> Result<(), AuthError> {
        timeout(HANDSHAKE_TIMEOUT, self.run_outgoing_handshake(stream))
            .await
            .unwrap_or(Err(AuthError::Timeout))
    }

    async fn run_outgoing_handshake(&self, stream: &mut TcpStream) -> Result<(), AuthError> {
        let keys = self.load();
        let key = keys.as_ref().map(|keys| keys.first().ok_or(AuthError::NoKey)).transpose()?;
        let nonce = random_nonce();
        let id = key.map_or(NO_KEY_ID, |key| key.id);
        stream.write_all(&[MAGIC.as_slice(), &id, &nonce].concat()).await?;
        let (peer_key_id, peer_nonce) = read_hello(stream).await?;
        let Some(key) = key else {
            return if peer_key_id == NO_KEY_ID { Ok(()) } else { Err(AuthError::UnknownKey) };
        };
        if peer_key_id == NO_KEY_ID {
            return Err(AuthError::NoKey);
        }
        let mut proof = [0; MAC_LEN];
        stream.read_exact(&mut proof).await?;
        verify_proof(key, b"accepts", &nonce, &peer_nonce, &proof)?;
        stream
            .write_all(&mac(key, b"connects", &nonce, &peer_nonce).finalize().into_bytes())
            .await?;
        match stream.read_u8().await? {
            ACCEPTED => Ok(()),
            _ => Err(AuthError::NotADaemon),
        }
    }

    /// Runs the handshake on an incoming connection: sends its own proof and verifies the proof
    /// of the other daemon.
    ///
    /// # Errors
    /// [`AuthError`] if the handshake fails; the connection must then be dropped.
    pub async fn incoming_handshake(&self, stream: &mut TcpStream) -> Result<(), AuthError> {
        timeout(HANDSHAKE_TIMEOUT, self.run_incoming_handshake(stream))
            .await
            .unwrap_or(Err(AuthError::Timeout))
    }

    async fn run_incoming_handshake(&self, stream: &mut TcpStream) -> Result<(), AuthError> {
        let keys = self.load();
        let (peer_key_id, peer_nonce) = read_hello(stream).await?;
        let nonce = random_nonce();
        let Some(keys) = keys else {
            stream.write_all(&[MAGIC.as_slice(), &NO_KEY_ID, &nonce].concat()).await?;
            return if peer_key_id == NO_KEY_ID { Ok(()) } else { Err(AuthError::UnknownKey) };
        };
        if peer_key_id == NO_KEY_ID {
            return Err(AuthError::NoKey);
        }
        let key = keys.iter().find(|key| key.id == peer_key_id).ok_or(AuthError::UnknownKey)?;
        let own_proof = mac(key, b"accepts", &peer_nonce, &nonce).finalize().into_bytes();
        stream.write_all(&[MAGIC.as_slice(), &key.id, &nonce, &own_proof].concat()).await?;
        let mut proof = [0; MAC_LEN];
        stream.read_exact(&mut proof).await?;
        verify_proof(key, b"connects", &peer_nonce, &nonce, &proof)?;
        stream.write_u8(ACCEPTED).await?;
        Ok(())
    }
}

async fn read_hello(
    stream: &mut TcpStream,
) -> Result<([u8; KEY_ID_LEN], [u8; NONCE_LEN]), AuthError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != *MAGIC {
        return Err(AuthError::NotADaemon);
    }
    let mut id = [0; KEY_ID_LEN];
    stream.read_exact(&mut id).await?;
    let mut nonce = [0; NONCE_LEN];
    stream.read_exact(&mut nonce).await?;
    Ok((id, nonce))
}

fn mac(key: &Key, role: &[u8], connecting: &[u8], accepting: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    // The role prevents a reflection of one side's proof as the proof of the other.
    mac.update(role);
    mac.update(connecting);
    mac.update(accepting);
    mac
}

fn verify_proof(
    key: &Key,
    role: &[u8],
    connecting: &[u8],
    accepting: &[u8],
    proof: &[u8],
) -> Result<(), AuthError> {
    mac(key, role, connecting, accepting).verify_slice(proof).map_err(|_| AuthError::WrongProof)
}

fn random_nonce() -> [u8; NONCE_LEN] {
    let mut nonce = [0; NONCE_LEN];
    if rand::rngs::SysRng.try_fill_bytes(&mut nonce).is_err() {
        log::error!("the system random number generator failed; connections between daemons fail");
    }
    nonce
}

fn read_keys(file: &Path) -> Result<Vec<Key>, KeyFileError> {
    let path: Box<str> = file.display().to_string().into();
    let text = fs::read_to_string(file)
        .map_err(|source| KeyFileError::Read { path: path.clone(), source })?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().map(str::trim).enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        if line.len() < KEY_MIN {
            return Err(KeyFileError::Short { path, line: index + 1 });
        }
        let digest = Sha256::new().chain_update(b"yuccalink key ").chain_update(line).finalize();
        let mut id = [0; KEY_ID_LEN];
        id.copy_from_slice(&digest[..KEY_ID_LEN]);
        keys.push(Key { id, secret: line.as_bytes().into() });
    }
    match keys.len() {
        0 => Err(KeyFileError::Empty { path }),
        count if count > KEYS_MAX => Err(KeyFileError::Many { path }),
        _ => Ok(keys),
    }
}
