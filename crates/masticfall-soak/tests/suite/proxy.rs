//! The proxy's faults, on connections that are open.

use std::time::Duration;

use masticfall_soak::proxy::{LinkMode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// Starts a server that sends back what it gets, behind a proxy.
async fn echo() -> Proxy {
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

/// Sends a byte and returns whether it came back within 300 ms.
async fn answers(stream: &mut TcpStream) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut byte = [0; 1];
    let read = timeout(Duration::from_millis(300), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

#[tokio::test]
async fn faults_strike_connections_that_are_open() {
    let proxy = echo().await;
    let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut stream).await);
    for mode in [LinkMode::DropToServer, LinkMode::DropToClient, LinkMode::Blackhole] {
        proxy.set(mode);
        assert!(!answers(&mut stream).await, "{mode:?}");
    }
    proxy.set(LinkMode::Delayed(60));
    let begun = Instant::now();
    assert!(answers(&mut stream).await);
    assert!(begun.elapsed() >= Duration::from_millis(120), "both ways take longer");
    proxy.set(LinkMode::Reset);
    assert!(!answers(&mut stream).await);
    proxy.set(LinkMode::Open);
    assert!(!answers(&mut stream).await, "what was reset stays closed");
    let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut stream).await);
}
