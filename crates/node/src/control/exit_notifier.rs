//! Telling that a thread has ended.

use tokio::sync::watch;

/// Tells its receivers when it is dropped, also by a panic.
///
/// A node whose control thread is gone would go on answering operators while all its leases lapse;
/// whoever waits for the node learns of it here and ends the process.
pub(super) struct ExitNotifier(pub(super) watch::Sender<bool>);

impl Drop for ExitNotifier {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}
