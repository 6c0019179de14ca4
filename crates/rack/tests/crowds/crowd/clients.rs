//! Clients that write on connections of their own and stay.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::JoinSet;

/// Time without a byte written after which no more is expected to be taken.
const STILL_TIME: Duration = Duration::from_secs(5);
/// Time after which a crowd whose bytes are still taken is large enough.
const CROWD_TIME: Duration = Duration::from_secs(60);
/// How much of what a client is sent is kept.
const KEPT_BYTES: usize = 64 * 1024;

/// Size of the kernel's buffers of a client, in each direction: little is under way, so what was written is at
/// the process, and what it writes unread stays there.
const SOCKET_BYTES: u32 = 65_536;

/// What a client writes before it stays open.
#[derive(Clone, Debug)]
pub struct Script {
    pub start: Bytes,
    /// Written this often after the start.
    pub piece: Bytes,
    pub pieces: usize,
    pub end: Bytes,
    /// Whether the client reads what it is sent.
    pub reads: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            start: Bytes::new(),
            piece: Bytes::new(),
            pieces: 0,
            end: Bytes::new(),
            reads: true,
        }
    }
}

/// Clients with a connection each, which stay open until the crowd is dropped or the node closes
/// them.
pub struct Crowd {
    clients: JoinSet<()>,
    records: Vec<Arc<ClientRecord>>,
    written: Arc<AtomicU64>,
}

/// What became of a client.
#[derive(Debug, Default)]
struct ClientRecord {
    state: Mutex<ClientState>,
}

#[derive(Debug, Default)]
struct ClientState {
    has_written_all: bool,
    has_ended: bool,
    received: Vec<u8>,
}

impl Crowd {
    /// Opens a connection for each script.
    pub fn open<S>(address: SocketAddr, scripts: S) -> Self
    where
        S: IntoIterator<Item = Script>,
    {
        let mut crowd = Self {
            clients: JoinSet::new(),
            records: Vec::new(),
            written: Arc::default(),
        };
        crowd.join(address, scripts);
        crowd
    }

    /// Opens more connections, which may lead to another address.
    pub fn join<S>(&mut self, address: SocketAddr, scripts: S)
    where
        S: IntoIterator<Item = Script>,
    {
        for script in scripts {
            let record = Arc::<ClientRecord>::default();
            self.records.push(Arc::clone(&record));
            let written = Arc::clone(&self.written);
            self.clients
                .spawn(async move { play(address, script, &record, &written).await });
        }
    }

    /// Waits until every client has written all that it wants to, or was closed, or no more is taken.
    pub async fn settle(&self) {
        let started = Instant::now();
        let mut last = (0, Instant::now());
        while started.elapsed() < CROWD_TIME && last.1.elapsed() < STILL_TIME {
            let left = self.records.iter().filter(|record| !record.is_done());
            if left.count() == 0 {
                return;
            }
            let written = self.written.load(Ordering::Relaxed);
            if written != last.0 {
                last = (written, Instant::now());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns how many connections are open.
    pub fn open_count(&self) -> usize {
        let open = self.records.iter().filter(|record| !record.has_ended());
        open.count()
    }

    /// Returns how many bytes were written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the statuses that a client was sent.
    pub fn statuses(&self, client: usize) -> Vec<u16> {
        let state = self.records[client].state.lock().unwrap();
        let text = String::from_utf8_lossy(&state.received);
        let statuses = text.split("HTTP/1.1 ").skip(1);
        statuses
            .filter_map(|text| text.get(..3)?.parse().ok())
            .collect()
    }

    /// Waits until every client was sent a response or was closed, at most for `timeout`.
    pub async fn wait_for_answers(&self, timeout: Duration) {
        let until = Instant::now() + timeout;
        let waits = |number: &usize| {
            !self.records[*number].has_ended() && self.statuses(*number).is_empty()
        };
        while Instant::now() < until && (0..self.records.len()).any(|number| waits(&number)) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Describes what became of the clients.
    pub fn summary(&self) -> String {
        let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
        for status in (0..self.records.len()).flat_map(|client| self.statuses(client)) {
            *statuses.entry(status).or_default() += 1;
        }
        format!(
            "{} of {} clients open, {} bytes written, statuses {statuses:?}",
            self.open_count(),
            self.records.len(),
            self.written()
        )
    }
}

impl ClientRecord {
    fn is_done(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.has_written_all || state.has_ended
    }

    fn has_ended(&self) -> bool {
        self.state.lock().unwrap().has_ended
    }
}

async fn play(
    address: SocketAddr,
    script: Script,
    record: &Arc<ClientRecord>,
    written: &AtomicU64,
) {
    if let Ok(stream) = connect(address).await {
        let (read, mut write) = stream.into_split();
        let (reads, reader) = (script.reads, Arc::clone(record));
        // The writer's error says the same as the end of what is read, and an answer may still
        // be on its way.
        let writing = async {
            let pieces = std::iter::repeat_n(&script.piece, script.pieces);
            let all = [&script.start].into_iter().chain(pieces);
            for bytes in all.chain([&script.end]) {
                if write.write_all(bytes).await.is_err() {
                    return;
                }
                written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            }
            record.state.lock().unwrap().has_written_all = true;
        };
        let reading = async {
            match reads {
                true => read_all(read, &reader).await,
                false => {
                    // Held without being read.
                    let _read = read;
                    std::future::pending::<()>().await;
                }
            }
        };
        let writing = async {
            writing.await;
            if !reads && !record.is_done() {
                return;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
    }
    record.state.lock().unwrap().has_ended = true;
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_send_buffer_size(SOCKET_BYTES)?;
    socket.set_recv_buffer_size(SOCKET_BYTES)?;
    socket.connect(address).await
}

async fn read_all(mut read: OwnedReadHalf, record: &ClientRecord) {
    let mut piece = vec![0; 16 * 1024];
    while let Ok(count) = read.read(&mut piece).await {
        if count == 0 {
            return;
        }
        let mut state = record.state.lock().unwrap();
        let room = KEPT_BYTES - state.received.len();
        state.received.extend(&piece[..count.min(room)]);
    }
}
