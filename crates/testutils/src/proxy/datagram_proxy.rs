//! A proxy for datagrams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::DatagramFaults;
use super::ProxyError;

/// The greatest datagram, in bytes.
const LARGEST: usize = 64 * 1024;

/// Stands in front of one datagram socket and mistreats what is sent to it and answered by it.
#[derive(Debug)]
pub struct DatagramProxy {
    address: SocketAddr,
    rules: Arc<Mutex<Rules>>,
    receiving: JoinHandle<()>,
}

#[derive(Debug)]
struct Rules {
    target: Option<SocketAddr>,
    forward: DatagramFaults,
    back: DatagramFaults,
    blocked: HashSet<SocketAddr>,
    received: u64,
    random: ChaCha8Rng,
}

impl DatagramProxy {
    /// Listens on a port that the host chooses, in front of `target`.
    pub async fn bind(target: SocketAddr, seed: u64) -> Result<Self, ProxyError> {
        let proxy = Self::bind_first(seed).await?;
        proxy.aim(target);
        Ok(proxy)
    }

    /// Listens before the target does; datagrams are lost until it is aimed at.
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
        let near = UdpSocket::bind(address).await;
        let near = near.map_err(ProxyError::NotBound)?;
        let address = near.local_addr().map_err(ProxyError::NotBound)?;
        let rules = Arc::new(Mutex::new(Rules {
            target: None,
            forward: DatagramFaults::default(),
            back: DatagramFaults::default(),
            blocked: HashSet::new(),
            received: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }));
        let receiving = tokio::spawn(receive(Arc::new(near), Arc::clone(&rules)));
        Ok(Self {
            address,
            rules,
            receiving,
        })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where datagrams go from now on.
    pub fn aim(&self, target: SocketAddr) {
        lock(&self.rules).target = Some(target);
    }

    /// Replaces the faults of the way to the target and of the way back.
    pub fn set_faults(&self, forward: DatagramFaults, back: DatagramFaults) {
        let mut rules = lock(&self.rules);
        rules.forward = forward;
        rules.back = back;
    }

    /// Loses what one sender sends, so that two sides can be parted while others are reached.
    pub fn block(&self, sender: SocketAddr) {
        lock(&self.rules).blocked.insert(sender);
    }

    /// Returns how many datagrams senders have sent so far, the lost ones included.
    pub fn received(&self) -> u64 {
        lock(&self.rules).received
    }

    /// Lets every sender through again.
    pub fn unblock_all(&self) {
        lock(&self.rules).blocked.clear();
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.receiving.abort();
    }
}

impl Rules {
    /// Counts a datagram and says where and when its copies go; none if it is lost to a block.
    fn admit(&mut self, sender: SocketAddr) -> Option<(SocketAddr, Vec<Duration>)> {
        self.received += 1;
        let target = self.target.filter(|_| !self.blocked.contains(&sender))?;
        let faults = self.forward;
        Some((target, self.draw(faults)))
    }

    /// Draws the delays after which copies of a datagram arrive; none when it is lost.
    fn draw(&mut self, faults: DatagramFaults) -> Vec<Duration> {
        let mut likely = |chance: f64| self.random.random_bool(chance.clamp(0.0, 1.0));
        if likely(faults.drop) {
            return Vec::new();
        }
        let is_overtaken = likely(faults.reorder);
        let is_doubled = likely(faults.duplicate);
        let late = faults.latency + faults.late;
        let mut delays = vec![if is_overtaken { late } else { faults.latency }];
        if is_doubled {
            delays.push(late);
        }
        delays
    }
}

async fn receive(near: Arc<UdpSocket>, rules: Arc<Mutex<Rules>>) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; LARGEST];
    loop {
        // On a loopback socket an error tells of an earlier datagram that nobody took.
        let Ok((length, sender)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        let Some((target, delays)) = lock(&rules).admit(sender) else {
            continue;
        };
        let far = match sockets.get(&sender) {
            Some(far) => Arc::clone(far),
            None => {
                let Ok(far) = open_socket().await.map(Arc::new) else {
                    continue;
                };
                let answering = answer(Arc::clone(&far), Arc::clone(&near), sender, rules.clone());
                tokio::spawn(answering);
                sockets.insert(sender, Arc::clone(&far));
                far
            }
        };
        deliver(&far, target, &buffer[..length], delays);
    }
}

/// Passes what the target answers back to the sender, until the proxy is dropped.
async fn answer(
    far: Arc<UdpSocket>,
    near: Arc<UdpSocket>,
    sender: SocketAddr,
    rules: Arc<Mutex<Rules>>,
) {
    let rules = Arc::downgrade(&rules);
    let mut buffer = vec![0; LARGEST];
    loop {
        let Ok((length, _)) = far.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(rules) = rules.upgrade() else {
            return;
        };
        let delays = {
            let mut rules = lock(&rules);
            let faults = rules.back;
            rules.draw(faults)
        };
        deliver(&near, sender, &buffer[..length], delays);
    }
}

fn deliver(socket: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8], delays: Vec<Duration>) {
    for delay in delays {
        let socket = Arc::clone(socket);
        let bytes = bytes.to_owned();
        tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            // A datagram that can't be sent is lost, which is in the nature of datagrams.
            socket.send_to(&bytes, to).await.ok();
        });
    }
}

async fn open_socket() -> Result<UdpSocket, ProxyError> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .map_err(ProxyError::NotBound)
}

fn lock(rules: &Mutex<Rules>) -> MutexGuard<'_, Rules> {
    rules.lock().unwrap_or_else(PoisonError::into_inner)
}
