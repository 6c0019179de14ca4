//! Sends news of suspected requests to the other nodes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::traffic::poison::PeerQuery;

use super::Suspects;
use crate::shared::SharedView;
use crate::shared::SuspectLink;

/// How often a process that has just started looks for further nodes to ask.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Stands for this node's own address until the routing table names it: the seeds are asked in their order.
const FIRST_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// How often old knowledge is forgotten.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the other nodes of ends of servers, and asks them at the start. Runs until the process ends.
pub(in crate::traffic) async fn exchange_news(
    suspects: Arc<Suspects>,
    view: Arc<SharedView>,
    link: Arc<dyn SuspectLink>,
    seeds: Vec<SocketAddr>,
) {
    tokio::spawn(ask_others(
        Arc::clone(&suspects),
        Arc::clone(&view),
        Arc::clone(&link),
        seeds,
    ));
    loop {
        suspects.review();
        for (letter, news) in suspects.take_letters() {
            let (suspects, link) = (Arc::clone(&suspects), Arc::clone(&link));
            let member = member_of(&view, &letter.to);
            tokio::spawn(async move {
                let confirmed = match member {
                    Some(member) => link.tell(&member, news).await,
                    None => false,
                };
                suspects.record_delivery(letter, confirmed);
            });
        }
        suspects.wait_due(REVIEW_INTERVAL).await;
    }
}

/// Asks some nodes what the process before this one may have known: the seeds, and those of the routing table once
/// there is one.
async fn ask_others(
    suspects: Arc<Suspects>,
    view: Arc<SharedView>,
    link: Arc<dyn SuspectLink>,
    seeds: Vec<SocketAddr>,
) {
    let clock: &dyn Clock = suspects.clock();
    let mut query = PeerQuery::new(clock.now());
    while query.time_left(clock.now()).is_some() {
        let routing = view.routing.load_full();
        let members = routing.nodes.values().map(|node| &node.member);
        let own = members
            .clone()
            .find(|member| member.node == *suspects.node());
        let others = members.filter(|member| member.node != *suspects.node());
        let others: Vec<SocketAddr> = others.map(|member| member.control).collect();
        if own.is_some() && others.is_empty() && seeds.is_empty() {
            // Nobody else can know anything.
            suspects.set_informed();
        }
        let own = own.map_or(FIRST_ADDRESS, |member| member.control);
        let Some((address, wait)) = query.next(&own, seeds.iter().chain(&others)) else {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        tokio::time::sleep(wait).await;
        let Some(news) = link.ask(address).await else {
            query.record_silence(&address);
            continue;
        };
        suspects.receive(&news);
        query.record_answer(clock.now(), &address, news.informed);
        if news.informed {
            suspects.set_informed();
        }
    }
}

fn member_of(view: &SharedView, node: &NodeName) -> Option<Member> {
    let routing = view.routing.load();
    routing.nodes.get(node).map(|node| node.member.clone())
}
