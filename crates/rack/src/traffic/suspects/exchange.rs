//! Sends news of suspected contents to the other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::traffic::poison::PeerQuery;

use super::Suspects;
use crate::clock;
use crate::shared::Board;
use crate::traffic::hop::HopClient;

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
        let mut query = PeerQuery::new(clock::now());
        while let Some(left) = query.time_left(clock::now()) {
            let view = self.board.view();
            let members = view.directory.members.keys();
            let others = members.filter(|node| **node != self.node_name);
            let Some((node, wait)) = query.next(&self.node_name, others) else {
                tokio::time::timeout(left, self.board.changed()).await.ok();
                continue;
            };
            tokio::time::sleep(wait).await;
            let Some(address) = self.address_of(&node) else {
                continue;
            };
            if let Some(news) = self.hops.fetch_suspects(address).await {
                self.suspects.receive(&news);
                query.record_answer(&node, news.informed);
                let ran_before = &self.board.view().voters;
                if news.informed || query.is_fleet_uninformed(&self.node_name, ran_before) {
                    self.suspects.set_informed();
                }
            }
        }
    }

    fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        let view = self.board.view();
        let entry = view.directory.members.get(node)?;
        Some(entry.member.traffic)
    }
}
