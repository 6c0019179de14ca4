//! Waits before a suspected request is sent to the backend server.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::ServerLife;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_core::traffic::refusal::RefusalCode;

use super::SuspectRun;
use super::Suspects;

/// The longest wait for another suspect.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// The share of the time left that a request may wait for another suspect.
const TRIAL_WAIT_SHARE: u32 = 2;
/// The share of the time left that a request waits for a process which does not know yet what others know.
const INFORMED_WAIT_SHARE: f64 = 0.75;
/// How often the verdict is looked up while nothing seems to change.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Suspects {
    /// Waits until a request may be sent to the server as far as its content is concerned.
    pub(in crate::traffic) async fn wait_for_trial(
        &self,
        content: Option<&ContentDigest>,
        deadline: Moment,
    ) -> Result<(), RefusalCode> {
        let Some(content) = content else {
            return Ok(());
        };
        let start = self.clock.now();
        let end = start + MAX_TRIAL_WAIT.min(deadline.since(start) / TRIAL_WAIT_SHARE);
        loop {
            let verdict = self.tracker().guard().try_send(self.clock.now(), content);
            match verdict {
                TrialVerdict::Send => return Ok(()),
                TrialVerdict::Refuse { .. } => return Err(RefusalCode::PoisonRequest),
                TrialVerdict::Wait if self.clock.now() >= end => {
                    return Err(RefusalCode::Suspected);
                }
                TrialVerdict::Wait => {
                    let _ =
                        tokio::time::timeout(TRIAL_POLL_INTERVAL, self.changed.notified()).await;
                }
            }
        }
    }

    /// Waits until this process knows what the others know, or has started long enough ago; refuses if it does not
    /// before most of the time until `deadline` is over.
    pub(in crate::traffic) async fn wait_informed(
        &self,
        deadline: Moment,
    ) -> Result<(), RefusalCode> {
        let start = self.clock.now();
        let end = start + deadline.since(start).mul_f64(INFORMED_WAIT_SHARE);
        while !self.tracker().is_informed(self.clock.now()) {
            if self.clock.now() >= end {
                return Err(RefusalCode::NotReady);
            }
            let _ = tokio::time::timeout(TRIAL_POLL_INTERVAL, self.changed.notified()).await;
        }
        Ok(())
    }

    /// Records that a request is about to be written to the server, unless another suspect has to end first.
    pub(in crate::traffic) fn try_begin(
        self: &Arc<Self>,
        server: ServerLife,
        content: ContentDigest,
        route: RouteName,
    ) -> Result<SuspectRun, TrialVerdict> {
        let now = self.clock.now();
        let mut tracker = self.tracker();
        match tracker.guard().try_send(now, &content) {
            TrialVerdict::Send => Ok(SuspectRun {
                suspects: Arc::clone(self),
                id: tracker.guard_mut().begin(now, server, content, route),
            }),
            verdict => Err(verdict),
        }
    }
}
