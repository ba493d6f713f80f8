//! Mutual authentication of daemons with a shared key.

use std::fs;
use std::path::PathBuf;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use yuccalink_transport::auth::{AuthError, Keys};

const OLD: &str = "0123456789abcdef0123456789abcdef";
const NEW: &str = "fedcba9876543210fedcba9876543210";

fn write_key_file(folder: &TempDir, name: &str, keys: &[&str]) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, keys.join("\n")).expect("written");
    path
}

async fn handshake(connecting: &Keys, accepting: &Keys) -> [Result<(), AuthError>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connect = async {
        let mut stream = TcpStream::connect(address).await?;
        connecting.outgoing_handshake(&mut stream).await
    };
    let accept = async {
        let (mut stream, _) = listener.accept().await?;
        accepting.incoming_handshake(&mut stream).await
    };
    let (a, b) = tokio::join!(connect, accept);
    [a, b]
}

#[tokio::test]
async fn only_the_same_key_is_accepted() {
    let folder = tempfile::tempdir().expect("a folder");
    let keys = |name: &str, keys: &[&str]| {
        Keys::open(Some(write_key_file(&folder, name, keys))).expect("keys")
    };
    let (old, new) = (keys("old", &[OLD]), keys("new", &[NEW]));
    assert!(handshake(&old, &old).await.iter().all(Result::is_ok));
    let [_, refused] = handshake(&old, &new).await;
    assert!(matches!(refused, Err(AuthError::UnknownKey)), "{refused:?}");
    let none = Keys::open(None).expect("no keys");
    assert!(handshake(&none, &none).await.iter().all(Result::is_ok));
    for (a, b) in [(&none, &old), (&old, &none)] {
        assert!(handshake(a, b).await.iter().all(Result::is_err));
    }
}

/// Rotating the key of a running system in three steps, one daemon at a time, never breaks the
/// connections between daemons.
#[tokio::test]
async fn keys_are_rotated_without_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let steps: [&[&str]; 4] = [&[OLD], &[OLD, NEW], &[NEW, OLD], &[NEW]];
    let a = Keys::open(Some(write_key_file(&folder, "a", steps[0]))).expect("keys");
    let b = Keys::open(Some(write_key_file(&folder, "b", steps[0]))).expect("keys");
    for step in &steps[1..] {
        for name in ["a", "b"] {
            write_key_file(&folder, name, step);
            for (from, to) in [(&a, &b), (&b, &a)] {
                let results = handshake(from, to).await;
                assert!(results.iter().all(Result::is_ok), "{name} {step:?}: {results:?}");
            }
        }
    }
}

/// If the key file is truncated by an editor or removed, daemons still connect with the keys that
/// they read before.
#[tokio::test]
async fn an_emptied_or_removed_key_file_keeps_the_loaded_keys() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = write_key_file(&folder, "k", &[OLD]);
    let keys = Keys::open(Some(path.clone())).expect("keys");
    fs::write(&path, "").expect("emptied");
    assert!(handshake(&keys, &keys).await.iter().all(Result::is_ok));
    fs::remove_file(&path).expect("removed");
    assert!(handshake(&keys, &keys).await.iter().all(Result::is_ok));
}

/// A peer without a key that reflects the handshake or sends arbitrary bytes is rejected.
#[tokio::test]
async fn reflected_and_arbitrary_bytes_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let keys = Keys::open(Some(write_key_file(&folder, "k", &[OLD]))).expect("keys");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let reflect = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (mut reader, mut writer) = stream.split();
        let _ = tokio::io::copy(&mut reader, &mut writer).await;
    };
    let outgoing = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        keys.outgoing_handshake(&mut stream).await
    };
    let (result, ()) = tokio::join!(outgoing, reflect);
    assert!(result.is_err(), "a reflected handshake was accepted");
    let garbage = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    };
    let incoming = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        keys.incoming_handshake(&mut stream).await
    };
    let ((), result) = tokio::join!(garbage, incoming);
    assert!(matches!(result, Err(AuthError::NotADaemon)), "{result:?}");
}

#[test]
fn errors_in_key_files_name_the_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    for (keys, what) in [
        (vec!["short"], "line 1"),
        (vec!["# only a comment"], "has no key"),
        (vec![OLD; 17], "more than 16"),
    ] {
        let error = Keys::open(Some(write_key_file(&folder, "bad", &keys))).expect_err(what);
        assert!(error.to_string().contains(what), "{error}");
    }
}
