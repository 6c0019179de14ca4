//! Reading the nodes' counters over a time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::stream;
use quetzalrack_core::burn::NodeSample;
use quetzalrack_core::ids::NodeName;
use quetzalrack_operator::nodes::NodeAccess;
use quetzalrack_operator::nodes::NodeReader;
use tokio::time::sleep;

use super::InputError;

/// How many nodes are read at once.
const AT_ONCE: usize = 32;

/// Reads every node that one of them knows, again and again.
///
/// The list of nodes is asked for anew each time, from any node that answered before, because
/// nodes come and go while the report watches.
pub struct NodePoll {
    reader: NodeReader,
    nodes: BTreeMap<NodeName, String>,
    first: String,
}

impl NodePoll {
    /// Opens a poll that starts from one node.
    pub fn open(reader: NodeReader, first: String) -> Self {
        Self {
            reader,
            nodes: BTreeMap::new(),
            first,
        }
    }

    /// Reads until `over` has passed, every `every`, handing each reading to `take`.
    pub async fn run<F>(
        &mut self,
        over: Duration,
        every: Duration,
        mut take: F,
    ) -> Result<(), InputError>
    where
        F: FnMut(NodeSample) -> Result<(), InputError>,
    {
        let until = Instant::now() + over;
        loop {
            self.find_nodes().await?;
            for sample in self.read_all().await {
                take(sample)?;
            }
            if Instant::now() >= until {
                return Ok(());
            }
            sleep(every).await;
        }
    }

    async fn find_nodes(&mut self) -> Result<(), InputError> {
        let known = self.nodes.values().cloned();
        let mut failure = None;
        for address in [self.first.clone()].into_iter().chain(known) {
            match self.reader.routing(&address).await {
                Ok(routing) => {
                    let members = routing.nodes.into_values().map(|node| node.member);
                    let found = members.map(|member| {
                        let address = format!("http://{}", member.admin);
                        (member.node, address)
                    });
                    self.nodes.extend(found);
                    return Ok(());
                }
                Err(error) => failure = Some(error),
            }
        }
        match failure {
            Some(error) if self.nodes.is_empty() => Err(error.into()),
            _ => Ok(()),
        }
    }

    async fn read_all(&self) -> Vec<NodeSample> {
        let addresses = self.nodes.values();
        let reads = stream::iter(addresses)
            .map(|address| self.reader.get::<NodeSample>(address, "/service-level"));
        // A node that does not answer is read again the next time; its counters keep.
        let answers = reads.buffer_unordered(AT_ONCE);
        answers
            .filter_map(|answer| async { answer.ok() })
            .collect()
            .await
    }
}
