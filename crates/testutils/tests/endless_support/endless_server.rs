//! A backend server that answers with bytes that have no end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::ServiceSpec;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SlotCount;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(200);
/// Bytes after which a connection is closed, though its answer has no end.
const MAX_CONNECTION_BYTES: usize = 100_000_000;
/// How many bytes are written at once.
const BLOCK_BYTES: usize = 65_536;

/// Bytes in place of the answers to requests under a path.
#[derive(Clone, Debug)]
pub struct EndlessBytes {
    pub path: &'static str,
    pub start: String,
    /// Written again and again after `start`, until the node closes.
    pub repeated: String,
}

#[derive(Debug, Default)]
struct State {
    endless: Mutex<Option<EndlessBytes>>,
    incarnation: AtomicU64,
    endless_count: AtomicUsize,
}

/// Announces itself to a node and answers its requests.
#[derive(Debug)]
pub struct EndlessServer {
    state: Arc<State>,
    tasks: [JoinHandle<()>; 2],
}

impl EndlessServer {
    /// Starts in place of a server that ran before.
    pub async fn start(service: ServiceSpec, server: ServerName, admin: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        // Later than any time in microseconds, from which the server before took its number.
        state.incarnation.store(1 << 60, Ordering::SeqCst);
        let announced = Announcement {
            service: service.name,
            server,
            address,
            incarnation: Incarnation(0),
            slots: SlotCount(service.slots.0),
            connections: service.connections,
            checks_fence: service.checks_fence,
            state: ServerState::Warm,
            reported_load: 0.0,
        };
        let tasks = [
            tokio::spawn(announce(Arc::clone(&state), announced, admin)),
            tokio::spawn(accept(Arc::clone(&state), listener)),
        ];
        Self { state, tasks }
    }

    /// Answers with endless bytes from now on, or as it should.
    pub fn set(&self, endless: Option<EndlessBytes>) {
        *self.state.endless.lock().unwrap() = endless;
    }

    /// Announces itself as restarted.
    pub fn restart(&self) {
        self.state.incarnation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how many answers without end were begun.
    pub fn endless_count(&self) -> usize {
        self.state.endless_count.load(Ordering::SeqCst)
    }
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn announce(state: Arc<State>, announced: Announcement, admin: SocketAddr) {
    let sender = reqwest::Client::new();
    let url = format!("http://{admin}/announcements");
    loop {
        let incarnation = Incarnation(state.incarnation.load(Ordering::SeqCst));
        let announced = Announcement {
            incarnation,
            ..announced.clone()
        };
        sender.post(&url).json(&announced).send().await.ok();
        tokio::time::sleep(ANNOUNCEMENT_PERIOD).await;
    }
}

async fn accept(state: Arc<State>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(Arc::clone(&state), stream));
    }
}

async fn serve(state: Arc<State>, mut stream: TcpStream) {
    let mut read = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut read).await {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let attempt = header(&head, "quetzalrack-attempt").unwrap_or_default();
        let endless = state.endless.lock().unwrap().clone();
        match endless.filter(|endless| path.starts_with(endless.path)) {
            Some(endless) => {
                state.endless_count.fetch_add(1, Ordering::SeqCst);
                write_endless(&mut stream, &endless, attempt).await;
                return;
            }
            None => {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nquetzalrack-attempt: {attempt}\r\ncontent-length: 2\r\n\r\n{{}}"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads one request with its body and returns its head.
async fn read_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<String> {
    let head = loop {
        let end = read.windows(4).position(|end| end == b"\r\n\r\n");
        if let Some(end) = end {
            let rest = read.split_off(end + 4);
            break String::from_utf8_lossy(&std::mem::replace(read, rest)).to_lowercase();
        }
        match stream.read_buf(read).await {
            Ok(1..) => {}
            _ => return None,
        }
    };
    let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    while read.len() < length {
        match stream.read_buf(read).await {
            Ok(1..) => {}
            _ => return None,
        }
    }
    read.drain(..length);
    Some(head)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        (found == name).then_some(value)
    })
}

async fn write_endless(stream: &mut TcpStream, endless: &EndlessBytes, attempt: &str) {
    let start = endless.start.replace("ATTEMPT", attempt);
    let block = endless
        .repeated
        .repeat(BLOCK_BYTES / endless.repeated.len() + 1);
    let mut written = 0;
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while written < MAX_CONNECTION_BYTES && stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len();
    }
}
