//! How long a request waits for the next owner of its key.
//!
//! Keys that move have no owner for a tenth of a second, and a wait costs their callers less than a
//! retry. Keys of a lost host have none for seconds, and after a restart of all processes no key
//! has one. Then every request would wait for the whole time and still be refused.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use crate::ownership::Directory;

/// The longest wait: keys that move have a new owner before that.
const MAX_WAIT: Duration = Duration::from_millis(350);
/// A request may wait for the time until its deadline divided by this.
const WAIT_DIVISOR: u32 = 3;
/// The number of adjacent keys for which a timeout counts: they mostly have one owner and lose it
/// together.
const BLOCK_KEYS: u16 = 256;
/// How long a timeout prevents further waits, if the owners stay the same.
const TIMEOUT_TTL: Duration = Duration::from_secs(5);

/// Decides how long requests wait for an owner, from the keys for which earlier waits timed out.
#[derive(Clone, Debug, Default)]
pub struct OwnerWait {
    timeouts: BTreeMap<Block, WaitTimeout>,
}

/// A block of adjacent keys of a service; all its keys while none has an owner.
type Block = (ServiceName, Option<u16>);

#[derive(Clone, Copy, Debug)]
struct WaitTimeout {
    owners: u64,
    at: Moment,
}

impl OwnerWait {
    /// Returns how long a request with `left` until its deadline may wait: zero if an earlier wait
    /// timed out and the owners have not changed since.
    pub fn max_wait(
        &self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        key: u16,
        left: Duration,
    ) -> Duration {
        let timeout = self.timeouts.get(&block(directory, service, key));
        let timed_out = timeout.is_some_and(|timeout| {
            timeout.owners == directory.owners_version && now.since(timeout.at) < TIMEOUT_TTL
        });
        match timed_out {
            true => Duration::ZERO,
            false => MAX_WAIT.min(left / WAIT_DIVISOR),
        }
    }

    /// Records that a request has waited for `waited` and its key still has no owner.
    pub fn record_timeout(
        &mut self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        key: u16,
        waited: Duration,
    ) {
        // A request with little time left gives up before a typical move is complete.
        if waited < MAX_WAIT {
            return;
        }
        self.timeouts
            .retain(|_, timeout| now.since(timeout.at) < TIMEOUT_TTL);
        let timeout = WaitTimeout {
            owners: directory.owners_version,
            at: now,
        };
        self.timeouts
            .insert(block(directory, service, key), timeout);
    }
}

fn block(directory: &Directory, service: &ServiceName, key: u16) -> Block {
    let owned = directory.owners.get(service);
    let any_owned = owned.is_some_and(|rows| !rows.is_empty());
    (service.clone(), any_owned.then_some(key / BLOCK_KEYS))
}
