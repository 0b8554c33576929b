//! The proxy injects its faults into connections that are already open.

use std::time::Duration;

use masticfall_soak::proxy::{LinkMode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// Starts an echo server behind a proxy.
async fn start_echo_proxy() -> Proxy {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                drop(tokio::io::copy(&mut from, &mut to).await);
            });
        }
    });
    Proxy::open(address).await.expect("a proxy")
}

/// Sends a byte and returns whether it is echoed within 300 ms.
async fn is_echoed(stream: &mut TcpStream) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut byte = [0; 1];
    let read = timeout(Duration::from_millis(300), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

#[tokio::test]
async fn faults_apply_to_open_connections() {
    let proxy = start_echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(is_echoed(&mut stream).await);
    for mode in [LinkMode::DropToServer, LinkMode::DropToClient, LinkMode::Blackhole] {
        proxy.set(mode);
        assert!(!is_echoed(&mut stream).await, "{mode:?}");
    }
    proxy.set(LinkMode::Delayed(60));
    let started = Instant::now();
    assert!(is_echoed(&mut stream).await);
    assert!(
        started.elapsed() >= Duration::from_millis(120),
        "the delay applies in both directions"
    );
    proxy.set(LinkMode::Reset);
    assert!(!is_echoed(&mut stream).await);
    proxy.set(LinkMode::Open);
    assert!(!is_echoed(&mut stream).await, "a reset connection stays closed");
    let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(is_echoed(&mut stream).await);
}

#[tokio::test]
async fn silence_applies_to_open_connections_only() {
    let proxy = start_echo_proxy().await;
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(is_echoed(&mut open).await);
    proxy.silence_open();
    assert!(!is_echoed(&mut open).await);
    let mut new = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(is_echoed(&mut new).await);
    assert!(!is_echoed(&mut open).await, "it stays silent");
    proxy.silence_open();
    assert!(!is_echoed(&mut new).await);
}
