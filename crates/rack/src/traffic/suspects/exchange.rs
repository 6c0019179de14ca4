//! Sends news of suspected contents to the other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;

use super::Suspects;
use crate::clock;
use crate::shared::Board;
use crate::traffic::hop::HopClient;

/// How long a process that has just started looks for nodes to ask.
const ASKING_TIME: Duration = Duration::from_secs(10);
/// How many nodes it asks for what they know.
const NODES_ASKED: usize = 3;

/// Tells the other nodes of ends of servers, and asks them at the start.
pub(in crate::traffic) struct SuspectExchange {
    pub(in crate::traffic) node_name: NodeName,
    pub(in crate::traffic) board: Arc<Board>,
    pub(in crate::traffic) suspects: Rc<Suspects>,
    pub(in crate::traffic) hops: Rc<HopClient>,
}

impl SuspectExchange {
    /// Runs until the process ends.
    pub(in crate::traffic) async fn run(self) {
        let exchange = Rc::new(self);
        tokio::task::spawn_local(Rc::clone(&exchange).ask_others());
        loop {
            for (letter, news) in exchange.suspects.take_letters() {
                let exchange = Rc::clone(&exchange);
                tokio::task::spawn_local(async move {
                    let address = exchange.address_of(&letter.to);
                    let confirmed = match address {
                        Some(address) => exchange.hops.send_suspects(address, &news).await,
                        None => false,
                    };
                    exchange.suspects.record_delivery(letter, confirmed);
                });
            }
            exchange.suspects.wait_due().await;
        }
    }

    /// Asks some nodes what the process before this one may have known.
    async fn ask_others(self: Rc<Self>) {
        let mut asked: Vec<NodeName> = Vec::new();
        let mut answers = 0;
        let end = clock::now() + ASKING_TIME;
        while answers < NODES_ASKED && clock::now() < end {
            let view = self.board.view();
            let mut others = view.directory.members.iter();
            let next = others.find(|(node, entry)| {
                **node != self.node_name && entry.responsive && !asked.contains(node)
            });
            let Some((node, entry)) = next else {
                if answers > 0 {
                    return;
                }
                let left = end.since(clock::now());
                tokio::time::timeout(left, self.board.changed()).await.ok();
                continue;
            };
            asked.push(node.clone());
            if let Some(news) = self.hops.fetch_suspects(entry.member.traffic).await {
                self.suspects.receive(&news);
                answers += 1;
            }
        }
    }

    fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        let view = self.board.view();
        let entry = view.directory.members.get(node)?;
        Some(entry.member.traffic)
    }
}
