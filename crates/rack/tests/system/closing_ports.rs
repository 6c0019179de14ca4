//! Clients that connect while a port is closed.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use quetzalrack_rack::accept::accept_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::support::ConnectionOutcome;

/// How many ports are opened and closed, some of them at once.
const PORTS: usize = 240;
const PORTS_AT_ONCE: usize = 4;
/// How many clients of a port connect as fast as they can.
const CLIENTS: usize = 4;
/// Time after which a client gives up a connection that is not open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const OPEN_TIME: Duration = Duration::from_millis(40);

/// Guards against connections that are reset because they are opened between the last accept and the close of
/// the port.
#[test]
fn nothing_reset() {
    let groups = (0..PORTS_AT_ONCE).map(|_| {
        thread::spawn(|| {
            let outcomes = (0..PORTS / PORTS_AT_ONCE).flat_map(|_| last_outcomes());
            outcomes
                .filter(|outcome| *outcome == ConnectionOutcome::Cut)
                .count()
        })
    });
    let groups: Vec<_> = groups.collect();
    let cut: usize = groups.into_iter().map(|group| group.join().unwrap()).sum();
    assert_eq!(cut, 0, "connections to {PORTS} ports were cut");
}

/// Opens a port, lets clients connect to it, closes it, and returns what each client got last.
fn last_outcomes() -> Vec<ConnectionOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| thread::spawn(move || connect_until_refused(address)))
            .collect();
        accept_until(listener, "test", echo, tokio::time::sleep(OPEN_TIME)).await;
        while clients.iter().any(|client| !client.is_finished()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let outcomes = clients.into_iter().map(|client| client.join().unwrap());
        outcomes.collect()
    })
}

async fn echo(mut stream: tokio::net::TcpStream) {
    let mut byte = [0];
    // The client checks what it gets.
    if stream.read_exact(&mut byte).await.is_ok() {
        stream.write_all(&byte).await.ok();
    }
}

fn connect_until_refused(address: SocketAddr) -> ConnectionOutcome {
    loop {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            return ConnectionOutcome::Refused;
        };
        let written = stream.write_all(&[1]);
        if written.and_then(|()| stream.read_exact(&mut [0])).is_err() {
            return ConnectionOutcome::Cut;
        }
    }
}
