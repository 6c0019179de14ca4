//! A cache of the route table.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::intent::InForce;
use quetzalrack_core::traffic::routes::RouteTable;

/// Holds the route table of the document in force, and rebuilds it when the document changes.
#[derive(Debug, Default)]
pub(super) struct RouteCache {
    cached: ArcSwapOption<CachedTable>,
}

#[derive(Debug)]
struct CachedTable {
    digest: DocumentDigest,
    table: Arc<RouteTable>,
}

impl RouteCache {
    /// Returns the route table of the intent in force.
    pub(super) fn table(&self, intent: &InForce) -> Arc<RouteTable> {
        if let Some(cached) = self.cached.load().as_ref()
            && cached.digest == intent.digest
        {
            return Arc::clone(&cached.table);
        }
        let table = Arc::new(RouteTable::new(&intent.document));
        self.cached.store(Some(Arc::new(CachedTable {
            digest: intent.digest,
            table: Arc::clone(&table),
        })));
        table
    }
}
