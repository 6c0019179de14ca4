//! A proxy for connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::ProxyError;
use super::StreamFaults;
use super::stream_pump::pump;

/// Stands in front of one listening address and mistreats the connections to it; dropping it
/// closes them all.
#[derive(Debug)]
pub struct StreamProxy {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    faults: watch::Sender<Arc<StreamFaults>>,
    cut: broadcast::Sender<()>,
    accepting: JoinHandle<()>,
}

impl StreamProxy {
    /// Listens on a port that the host chooses, in front of `target`.
    pub async fn bind(target: SocketAddr, seed: u64) -> Result<Self, ProxyError> {
        let proxy = Self::bind_first(seed).await?;
        proxy.aim(target);
        Ok(proxy)
    }

    /// Listens before the target does; connections are closed until it is aimed at.
    pub async fn bind_first(seed: u64) -> Result<Self, ProxyError> {
        Self::listen((Ipv4Addr::LOCALHOST, 0).into(), seed).await
    }

    /// Listens at `address`, in front of `target`.
    pub async fn bind_at(
        address: SocketAddr,
        target: SocketAddr,
        seed: u64,
    ) -> Result<Self, ProxyError> {
        let proxy = Self::listen(address, seed).await?;
        proxy.aim(target);
        Ok(proxy)
    }

    async fn listen(address: SocketAddr, seed: u64) -> Result<Self, ProxyError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(ProxyError::NotBound)?;
        let address = listener.local_addr().map_err(ProxyError::NotBound)?;
        let (faults, seen) = watch::channel(Arc::default());
        let (cut, _) = broadcast::channel(1);
        let (target, aimed) = watch::channel(None);
        let accepting = tokio::spawn(accept(listener, aimed, seen, cut.clone(), seed));
        Ok(Self {
            address,
            target,
            faults,
            cut,
            accepting,
        })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections go from now on.
    pub fn aim(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Replaces the faults, also for connections that are open.
    pub fn set_faults(&self, faults: StreamFaults) {
        self.faults.send_replace(Arc::new(faults));
    }

    /// Closes every open connection.
    pub fn cut(&self) {
        // Without a connection there is nobody to hear it.
        self.cut.send(()).ok();
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut();
    }
}

async fn accept(
    listener: TcpListener,
    aimed: watch::Receiver<Option<SocketAddr>>,
    faults: watch::Receiver<Arc<StreamFaults>>,
    cut: broadcast::Sender<()>,
    seed: u64,
) {
    let mut count: u64 = 0;
    while let Ok((near, _)) = listener.accept().await {
        let target = *aimed.borrow();
        let Some(target) = target.filter(|_| !faults.borrow().refuse) else {
            continue;
        };
        count += 1;
        let faults = faults.clone();
        let mut cut = cut.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = carry(near, target, faults, seed, count) => {}
                _ = cut.recv() => {}
            }
        });
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Arc<StreamFaults>>,
    seed: u64,
    count: u64,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Delays are the faults' business alone.
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let random = |way: u64| ChaCha8Rng::seed_from_u64(seed ^ (count << 1) ^ way);
    let forward = pump(
        near_read,
        far_write,
        faults.clone(),
        |all| all.forward,
        random(0),
    );
    let back = pump(far_read, near_write, faults, |all| all.back, random(1));
    // An error on one way ends both: the connection is cut.
    tokio::try_join!(forward, back).ok();
}
