use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::accept::Acceptor;

/// Guards against a flood of connections that takes all descriptors of an instance.
#[tokio::test]
async fn a_connection_beyond_the_limit_waits() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the address");
    let acceptor = Acceptor::new(listener, 2);
    let mut callers = Vec::new();
    for _ in 0..3 {
        callers.push(TcpStream::connect(address).await.expect("a connection"));
    }
    let (_, first) = acceptor.accept().await;
    let (_, _second) = acceptor.accept().await;

    let beyond = timeout(Duration::from_millis(100), acceptor.accept()).await;
    drop(first);
    let after = timeout(Duration::from_secs(5), acceptor.accept()).await;

    assert!(beyond.is_err(), "a third connection was accepted");
    assert!(
        after.is_ok(),
        "no connection was accepted after one had ended"
    );
}
