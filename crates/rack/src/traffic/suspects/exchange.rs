//! Sends news of suspected contents to the other nodes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::traffic::poison::PeerQuery;
use quetzalrack_core::traffic::poison::SuspectNews;
use tokio::task::JoinSet;

use super::Suspects;
use crate::clock;
use crate::shared::Board;
use crate::traffic::hop::HopClient;

/// How often a process that has just started looks for further nodes to ask.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

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
                    let address = exchange.suspects.address_of(&letter.to);
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
        let started = clock::now();
        let mut query = PeerQuery::new(started);
        let mut asking = JoinSet::new();
        let mut is_informed = false;
        while let Some(left) = query.time_left(clock::now()) {
            let others = self.suspects.others();
            if let Some((node, wait)) = query.next(&self.node_name, &others) {
                asking.spawn_local(Rc::clone(&self).ask(node, wait));
                continue;
            }
            tokio::select! {
                Some(Ok((node, news))) = asking.join_next() => match news {
                    Some(news) => {
                        self.suspects.receive(&news);
                        query.record_answer(clock::now(), &node, news.informed);
                    }
                    None => query.record_silence(&node),
                },
                () = tokio::time::sleep(left.min(LOOK_INTERVAL)) => {}
            }
            let ran_before = self.board.view().voters.keys().cloned().collect();
            let nobody_knows = query.is_fleet_uninformed(&self.node_name, &ran_before);
            if !is_informed && (nobody_knows || query.is_informed(clock::now())) {
                is_informed = true;
                self.suspects.set_informed();
                let after_ms = clock::now().since(started).as_millis();
                let suspects = self.suspects.all().records.len();
                log::info!(
                    event = "suspects_known", after_ms = after_ms, fleet_is_new = nobody_knows, suspects = suspects; ""
                );
            }
        }
    }

    /// Asks one node after a moment.
    async fn ask(
        self: Rc<Self>,
        node: NodeName,
        wait: Duration,
    ) -> (NodeName, Option<SuspectNews>) {
        tokio::time::sleep(wait).await;
        let news = match self.suspects.address_of(&node) {
            Some(address) => self.hops.fetch_suspects(address).await,
            None => None,
        };
        (node, news)
    }
}
