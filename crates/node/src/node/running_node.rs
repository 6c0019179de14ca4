//! A running node.

use std::sync::Arc;
use std::thread::JoinHandle;

use quetzalrack_core::cluster::Member;
use quetzalrack_wire::status::ListeningLine;
use tokio::sync::watch;

use super::NodeHandle;
use super::RunError;
use super::service_thread::ServiceThread;
use crate::admin::RunningAdmin;
use crate::calls::RunningCalls;
use crate::control::ControlEvent;
use crate::platform::OpenLink;
use crate::shared::SharedView;

/// Owns all threads and sockets of a node; dropping it stops them.
pub struct RunningNode {
    pub(super) member: Member,
    pub(super) listening: ListeningLine,
    pub(super) view: Arc<SharedView>,
    pub(super) handle: NodeHandle,
    pub(super) control: Option<JoinHandle<()>>,
    pub(super) control_ended: watch::Receiver<bool>,
    pub(super) _admin: RunningAdmin,
    pub(super) _calls: RunningCalls,
    pub(super) _link: OpenLink,
    pub(super) service: ServiceThread,
}

impl RunningNode {
    /// Returns the node's identity and addresses.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the state shared by the node's threads.
    pub fn view(&self) -> &Arc<SharedView> {
        &self.view
    }

    /// Returns a handle for shutting the node down.
    pub fn handle(&self) -> NodeHandle {
        self.handle.clone()
    }

    /// Returns the line that reports the node's bound addresses.
    pub fn listening(&self) -> &ListeningLine {
        &self.listening
    }

    /// Waits until a shutdown is complete, or until the node stops by itself.
    pub fn wait(self) -> Result<(), RunError> {
        let mut handle = self.handle.clone();
        let mut ended = self.control_ended.clone();
        let outcome = self.service.run(async move {
            tokio::select! {
                biased;
                () = handle.finished() => Ok(()),
                _ = ended.wait_for(|ended| *ended) => Err(RunError::ControlEnded),
            }
        });
        outcome.unwrap_or(Err(RunError::ControlEnded))
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.handle.inbox.send(ControlEvent::Stop);
        if let Some(control) = self.control.take() {
            // A panic of the thread has already been reported.
            let _ = control.join();
        }
    }
}
