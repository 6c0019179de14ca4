//! How long a request waits for the next owner of its key.
//!
//! The load that this answers: keys that move have no owner for a tenth of a second, and a wait costs
//! their callers less than coming again; keys of a lost host have none for seconds, and after all
//! processes have started anew no key has. Then every request would be held for the whole wait and
//! refused all the same.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use crate::ownership::Directory;

/// The longest wait: keys that move have a new owner before that.
const LONGEST: Duration = Duration::from_millis(350);
/// The part of the time that a request has left which it may wait.
const PART: u32 = 3;
/// Neighbouring keys mostly have one owner, and lose it together: so many are taken as one.
const BLOCK: u16 = 256;
/// How long a wait in vain speaks against the next one, if the owners stay the same.
const MEMORY: Duration = Duration::from_secs(5);

/// Remembers for which keys requests waited in vain.
#[derive(Clone, Debug, Default)]
pub struct OwnerWait {
    vain: BTreeMap<Block, Vain>,
}

/// Is some keys of a service; all of them while none has an owner.
type Block = (ServiceName, Option<u16>);

#[derive(Clone, Copy, Debug)]
struct Vain {
    owners: u64,
    at: Moment,
}

impl OwnerWait {
    /// Returns how long a request waits that has `left` until its deadline: nothing if one before it has
    /// waited in vain, and the owners have not changed since.
    pub fn max_wait(
        &self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        key: u16,
        left: Duration,
    ) -> Duration {
        let vain = self.vain.get(&block(directory, service, key));
        let hopeless = vain.is_some_and(|vain| {
            vain.owners == directory.owners_version && now.since(vain.at) < MEMORY
        });
        match hopeless {
            true => Duration::ZERO,
            false => LONGEST.min(left / PART),
        }
    }

    /// Learns that a request has waited for `waited`, and its key has no owner still.
    pub fn record_timeout(
        &mut self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        key: u16,
        waited: Duration,
    ) {
        // A request with little time gives up before a usual move is done.
        if waited < LONGEST {
            return;
        }
        self.vain.retain(|_, vain| now.since(vain.at) < MEMORY);
        let vain = Vain {
            owners: directory.owners_version,
            at: now,
        };
        self.vain.insert(block(directory, service, key), vain);
    }
}

fn block(directory: &Directory, service: &ServiceName, key: u16) -> Block {
    let owned = directory.owners.get(service);
    let some = owned.is_some_and(|rows| !rows.is_empty());
    (service.clone(), some.then_some(key / BLOCK))
}
