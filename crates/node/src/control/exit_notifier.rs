//! Notification that a thread has exited.

use tokio::sync::watch;

/// Notifies its receivers when it is dropped, also by a panic.
///
/// Without its control thread a node would go on answering operators while all its leases lapse.
/// The notification makes `RunningNode::wait` return an error, which ends the process.
pub(super) struct ExitNotifier(pub(super) watch::Sender<bool>);

impl Drop for ExitNotifier {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}
