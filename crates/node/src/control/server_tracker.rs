//! Detects when the backend server beside the node stops announcing itself.

use std::time::Duration;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::time::Moment;

/// Time without an announcement after which a backend server counts as lost: three announcement
/// intervals.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Tracks the last announcement of the backend server.
#[derive(Debug, Default)]
pub(super) struct ServerTracker {
    last_received: Option<Moment>,
    current: Option<Announcement>,
}

impl ServerTracker {
    /// Records an announcement and returns whether it differs from the one before.
    pub(super) fn record_announcement(&mut self, now: Moment, announcement: &Announcement) -> bool {
        self.last_received = Some(now);
        if self.current.as_ref() == Some(announcement) {
            return false;
        }
        self.current = Some(announcement.clone());
        true
    }

    /// Returns true once when the backend server counts as lost, and forgets it.
    pub(super) fn take_lost(&mut self, now: Moment) -> bool {
        let is_lost = self
            .last_received
            .is_some_and(|received| now.since(received) > ANNOUNCEMENT_TIMEOUT);
        if is_lost {
            self.last_received = None;
            self.current = None;
        }
        is_lost
    }
}
