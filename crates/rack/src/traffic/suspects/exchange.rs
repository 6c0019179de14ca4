//! Sends news of suspected contents to the other nodes.

use std::collections::BTreeMap;
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
/// How many nodes are to answer.
const NODES_ASKED: usize = 5;
/// How often one that does not answer, or has just started itself, is asked, and in which interval.
const MAX_TIMES_ASKED: u32 = 3;
const ASK_INTERVAL: Duration = Duration::from_millis(100);

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

    /// Asks some nodes what the process before this one may have known. One that has just started itself knows
    /// no more, and is asked again.
    async fn ask_others(self: Rc<Self>) {
        let end = clock::now() + ASKING_TIME;
        let mut asked: BTreeMap<NodeName, u32> = BTreeMap::new();
        let mut answers = 0;
        while answers < NODES_ASKED && clock::now() < end {
            let view = self.board.view();
            let others = view.directory.members.iter();
            let others = others.filter(|(node, _)| **node != self.node_name);
            let next = others
                .map(|(node, entry)| (asked.get(node).copied().unwrap_or(0), node, entry))
                .filter(|(times, ..)| *times < MAX_TIMES_ASKED)
                .min_by_key(|(times, node, _)| (*times, **node < self.node_name, *node));
            let Some((times, node, entry)) = next else {
                let left = end.since(clock::now());
                tokio::time::timeout(left, self.board.changed()).await.ok();
                continue;
            };
            asked.insert(node.clone(), times + 1);
            if times > 0 {
                tokio::time::sleep(ASK_INTERVAL).await;
            }
            let Some(news) = self.hops.fetch_suspects(entry.member.traffic).await else {
                continue;
            };
            self.suspects.receive(&news);
            if news.informed {
                answers += 1;
                asked.insert(node.clone(), MAX_TIMES_ASKED);
                self.suspects.set_informed();
            }
        }
    }

    fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        let view = self.board.view();
        let entry = view.directory.members.get(node)?;
        Some(entry.member.traffic)
    }
}
