//! What must hold after every word to a server.

use quetzalrack_mesh::model::KeyRange;

use super::Fleet;

impl Fleet {
    /// Looks whether another server holds what this one has just taken, and whether tokens rise.
    pub(super) fn check(&mut self, place: usize) {
        let now = self.now;
        for host in &mut self.nodes {
            if let Some(server) = &mut host.server {
                server.age(now);
            }
        }
        let Some(server) = &self.nodes[place].server else {
            return;
        };
        for holding in &server.holdings {
            for (other, host) in self
                .nodes
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != place)
            {
                let others = host.server.iter().flat_map(|server| &server.holdings);
                for theirs in others {
                    if let Some(keys) = theirs.held.keys.common(&holding.held.keys) {
                        self.problem = Some(format!(
                            "{}: node-{place} ({}) and node-{other} ({}) both hold {keys}",
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
            // A sample of keys is enough: ranges have ends.
            for key in [
                keys.first,
                keys.first + (keys.last - keys.first) / 2,
                keys.last,
            ] {
                let highest = self.highest.entry(key).or_default();
                if fence < *highest {
                    self.problem =
                        Some(format!("{now}: key {key} falls from {highest} to {fence}"));
                }
                self.grants += u64::from(fence > *highest);
                *highest = fence.max(*highest);
            }
        }
    }
}
