//! The proxy injects its faults into connections that are already open.

use std::net::SocketAddr;
use std::time::Duration;

use masticfall_soak::proxy::{LinkMode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Starts an echo server.
async fn start_echo_server() -> SocketAddr {
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
    address
}

/// Starts an echo server behind a proxy.
async fn start_echo_proxy() -> Proxy {
    Proxy::open(start_echo_server().await).await.expect("a proxy")
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

/// Reads all bytes that arrive within 300 ms.
async fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 64];
    while let Ok(Ok(length @ 1..)) =
        timeout(Duration::from_millis(300), stream.read(&mut chunk)).await
    {
        bytes.extend_from_slice(&chunk[..length]);
    }
    bytes
}

/// Accepts the connection that a proxy opens to its server.
async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = timeout(Duration::from_secs(2), listener.accept()).await;
    accepted.expect("a connection").expect("accepted").0
}

/// A network sends lost data again: a cut delays it, in its order.
#[tokio::test]
async fn held_data_arrives_in_order_after_the_cut() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let proxy = Proxy::open(listener.local_addr().expect("an address")).await.expect("a proxy");
    let mut client = TcpStream::connect(proxy.address).await.expect("connected");
    let mut server = accept(&listener).await;
    let cuts = [
        (LinkMode::HoldToServer, true, false),
        (LinkMode::HoldToClient, false, true),
        (LinkMode::Hold, true, true),
    ];
    for (mode, holds_to_server, holds_to_client) in cuts {
        proxy.set(mode);
        for part in ["one ", "two ", "three"] {
            client.write_all(part.as_bytes()).await.expect("sent");
            server.write_all(part.as_bytes()).await.expect("sent");
            sleep(Duration::from_millis(20)).await;
        }
        let sent = b"one two three".to_vec();
        let during = |is_held: bool| if is_held { Vec::new() } else { sent.clone() };
        let after = |is_held: bool| if is_held { sent.clone() } else { Vec::new() };
        assert_eq!(read_all(&mut server).await, during(holds_to_server), "{mode:?}");
        assert_eq!(read_all(&mut client).await, during(holds_to_client), "{mode:?}");
        proxy.set(LinkMode::Open);
        assert_eq!(read_all(&mut server).await, after(holds_to_server), "{mode:?}");
        assert_eq!(read_all(&mut client).await, after(holds_to_client), "{mode:?}");
    }
}

/// A caller that gives up takes nothing back: its order still arrives, and the server has time
/// to handle it before the connection ends.
#[tokio::test]
async fn held_data_arrives_after_the_client_has_gone() {
    for mode in [LinkMode::HoldToServer, LinkMode::Hold] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let proxy = Proxy::open(listener.local_addr().expect("an address")).await.expect("a proxy");
        let mut client = TcpStream::connect(proxy.address).await.expect("connected");
        let mut server = accept(&listener).await;
        proxy.set(mode);
        client.write_all(b"order").await.expect("sent");
        drop(client);
        assert_eq!(read_all(&mut server).await, b"", "{mode:?}");
        proxy.set(LinkMode::Open);
        let mut bytes = [0; 5];
        server.read_exact(&mut bytes).await.expect("the order");
        assert_eq!(&bytes, b"order", "{mode:?}");
        let early = timeout(Duration::from_millis(300), server.read(&mut bytes)).await;
        assert!(early.is_err(), "{mode:?}: the connection is still open");
        let end = timeout(Duration::from_secs(2), server.read(&mut bytes)).await;
        assert!(matches!(end, Ok(Ok(0))), "{mode:?}: {end:?}");
    }
}

#[tokio::test]
async fn reset_drops_held_data() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let proxy = Proxy::open(listener.local_addr().expect("an address")).await.expect("a proxy");
    let mut client = TcpStream::connect(proxy.address).await.expect("connected");
    let mut server = accept(&listener).await;
    proxy.set(LinkMode::Hold);
    client.write_all(b"order").await.expect("sent");
    sleep(Duration::from_millis(50)).await;
    proxy.set(LinkMode::Reset);
    assert_eq!(read_all(&mut server).await, b"");
    proxy.set(LinkMode::Open);
    assert_eq!(read_all(&mut server).await, b"");
}
