//! Moves the bytes of one direction.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::DirectionFaults;
use super::StreamFaults;

/// The greatest piece moved at once, in bytes.
const PIECE: usize = 16 * 1024;
/// How many pieces may be on their way in one direction.
const ON_THE_WAY: usize = 256;

/// Picks the direction's faults out of all.
pub(super) type Pick = fn(&StreamFaults) -> DirectionFaults;

/// Moves bytes one way until either end closes or a fault cuts the connection.
pub(super) async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: watch::Receiver<Arc<StreamFaults>>,
    pick: Pick,
    random: ChaCha8Rng,
) -> io::Result<()> {
    let (queue, arriving) = mpsc::channel(ON_THE_WAY);
    let reading = read_pieces(from, queue, faults.clone(), pick, random);
    let writing = write_pieces(to, arriving, faults, pick);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

async fn read_pieces(
    mut from: OwnedReadHalf,
    queue: mpsc::Sender<Piece>,
    faults: watch::Receiver<Arc<StreamFaults>>,
    pick: Pick,
    mut random: ChaCha8Rng,
) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; PIECE];
        let count = from.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        bytes.truncate(count);
        let now = pick(&faults.borrow());
        let jitter = now.jitter.mul_f64(random.random());
        let due = Instant::now() + now.latency + jitter;
        if queue.send(Piece { due, bytes }).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_pieces(
    mut to: OwnedWriteHalf,
    mut arriving: mpsc::Receiver<Piece>,
    mut faults: watch::Receiver<Arc<StreamFaults>>,
    pick: Pick,
) -> io::Result<()> {
    let mut passed: u64 = 0;
    while let Some(mut piece) = arriving.recv().await {
        sleep_until(piece.due).await;
        // The proxy is gone when nobody can change the faults any more.
        let open = faults.wait_for(|all| !pick(all).blackhole).await;
        let now = open.map(|all| pick(&all)).map_err(|_| cut())?;
        let room = now.truncate_after.map(|bound| bound.saturating_sub(passed));
        let whole = room.is_none_or(|room| room >= piece.bytes.len() as u64);
        if let (false, Some(room)) = (whole, room) {
            piece
                .bytes
                .truncate(usize::try_from(room).unwrap_or(usize::MAX));
        }
        to.write_all(&piece.bytes).await?;
        passed += piece.bytes.len() as u64;
        if !whole {
            return Err(cut());
        }
        if let Some(bandwidth) = now.bandwidth {
            let time = piece.bytes.len() as f64 / bandwidth.max(1) as f64;
            sleep(Duration::from_secs_f64(time)).await;
        }
    }
    to.shutdown().await
}

fn cut() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
