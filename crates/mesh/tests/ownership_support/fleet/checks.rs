//! Invariants checked after every grant, renewal or release at a server.

use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::model::ServerIncarnation;

use super::Fleet;

impl Fleet {
    /// Checks that no other server holds a range that this one holds, and that each incarnation gets it with
    /// a token above all others'.
    pub(super) fn check(&mut self, index: usize) {
        let now = self.now;
        for host in &mut self.nodes {
            if let Some(server) = &mut host.server {
                server.expire(now);
            }
        }
        let Some(server) = &self.nodes[index].server else {
            return;
        };
        for holding in &server.holdings {
            for (other, host) in self
                .nodes
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
            {
                let others = host.server.iter().flat_map(|server| &server.holdings);
                for theirs in others {
                    if let Some(keys) = theirs.held.keys.common(&holding.held.keys) {
                        self.violation = Some(format!(
                            "{}: node-{index} ({}) and node-{other} ({}) both hold {keys}",
                            self.now, holding.held.fence, theirs.held.fence
                        ));
                    }
                }
            }
        }
        let incarnation = server.incarnation.clone();
        let granted = server.holdings.iter();
        let granted = granted.map(|holding| (holding.held.keys, holding.held.fence.0));
        self.check_tokens(&incarnation, granted.collect());
    }

    /// Checks that an incarnation gets keys with a token above those of all others.
    fn check_tokens(&mut self, incarnation: &ServerIncarnation, granted: Vec<(KeyRange, u64)>) {
        let now = self.now;
        for (keys, fence) in granted {
            // The ends and the middle of each range are sample enough.
            for key in [
                keys.first,
                keys.first + (keys.last - keys.first) / 2,
                keys.last,
            ] {
                let (highest, holder) = self.highest_fences.entry(key).or_default();
                let is_known = holder.as_ref() == Some(incarnation);
                if fence < *highest || (fence == *highest && !is_known) {
                    self.violation = Some(format!(
                        "{now}: key {key} had token {highest} at {holder:?}, and {incarnation} gets it with {fence}"
                    ));
                }
                if fence > *highest {
                    self.grants += 1;
                    (*highest, *holder) = (fence, Some(incarnation.clone()));
                }
            }
        }
    }
}
