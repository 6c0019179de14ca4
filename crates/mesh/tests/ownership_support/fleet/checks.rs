//! Invariants checked after every grant, renewal or release at a server.

use quetzalrack_mesh::model::KeyRange;

use super::Fleet;

impl Fleet {
    /// Checks that no other server holds a range that this one holds, and that tokens only rise.
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
        let granted: Vec<(KeyRange, u64)> = server
            .holdings
            .iter()
            .map(|holding| (holding.held.keys, holding.held.fence.0))
            .collect();
        for (keys, fence) in granted {
            // The ends and the middle of each range are sample enough.
            for key in [
                keys.first,
                keys.first + (keys.last - keys.first) / 2,
                keys.last,
            ] {
                let highest = self.highest_fences.entry(key).or_default();
                if fence < *highest {
                    self.violation =
                        Some(format!("{now}: key {key} falls from {highest} to {fence}"));
                }
                self.grants += u64::from(fence > *highest);
                *highest = fence.max(*highest);
            }
        }
    }
}
