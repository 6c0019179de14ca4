//! Watching over the backend server beside the node.

use std::time::Duration;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::time::Moment;

/// How long a backend server may be silent, three of its announcements, before it counts as lost.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Remembers when the backend server was heard last.
#[derive(Debug, Default)]
pub(super) struct ServerTracker {
    heard: Option<Moment>,
    current: Option<Announcement>,
}

impl ServerTracker {
    /// Takes an announcement and tells whether it says anything new.
    pub(super) fn hear(&mut self, now: Moment, announcement: &Announcement) -> bool {
        self.heard = Some(now);
        if self.current.as_ref() == Some(announcement) {
            return false;
        }
        self.current = Some(announcement.clone());
        true
    }

    /// Tells, once, that the backend server has become silent.
    pub(super) fn take_lost(&mut self, now: Moment) -> bool {
        let is_silent = self.heard.is_some_and(|heard| now.since(heard) > SILENCE);
        if is_silent {
            self.heard = None;
            self.current = None;
        }
        is_silent
    }
}
