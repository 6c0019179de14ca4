//! Keeps the admission up to date with what is known of the server.

use std::time::Duration;

use quetzalrack_mesh::traffic::admission::ColdRate;

use super::Egress;
use super::end_sign::EndSign;
use crate::clock;
use crate::shared::NodeView;

/// The share of the allowed excess over a cold server's rate that is used for starting requests;
/// the rest covers requests that arrive in bunches.
const COLD_EXCESS_SHARE: f64 = 0.6;
/// How long a server is treated as cold after the evacuation of its zone ends, unless its heartbeat
/// reports a longer time: a little more than one heartbeat interval.
const COLD_AFTER_EVACUATION: Duration = Duration::from_millis(1_500);

impl Egress {
    /// Updates the admission with what is known of the server.
    pub(super) fn update_admission(&self, view: &NodeView) {
        let Some(server) = &view.server else {
            return;
        };
        self.notices
            .borrow_mut()
            .set_server(&server.incarnation, server.ran_before);
        let now = clock::now();
        let evacuated = view.intent.evacuated.contains(&self.zone);
        let returned = self.zone_evacuated.replace(evacuated) && !evacuated;
        let previous = self.incarnation.replace(Some(server.incarnation.clone()));
        let restarted = previous.as_ref() != Some(&server.incarnation);
        if let Some(previous) = previous.filter(|_| restarted) {
            self.record_end(&previous, EndSign::Replaced);
        }
        let limit = self.notices.borrow().limit();
        let rate = self.cold_rate(view);
        let maybe_restarted = self.client.maybe_restarted(server.heartbeat_at);
        self.queue.update(|admission| {
            admission.set_slots(server.slots);
            admission.set_limit(limit);
            let cold = admission.cold_limiter();
            cold.set_rate(rate);
            cold.set_maybe_restarted(maybe_restarted);
            if restarted {
                cold.set_cold_until(server.cold_until);
            } else if returned {
                cold.set_cold_until(server.cold_until.max(now + COLD_AFTER_EVACUATION));
            } else if server.cold_until > now {
                cold.extend_cold(server.cold_until);
            }
        });
    }

    fn cold_rate(&self, view: &NodeView) -> ColdRate {
        let config = view.intent.config.as_ref();
        let Some(service) = config.and_then(|config| config.services.get(&self.service)) else {
            return ColdRate::Unknown;
        };
        let Some(rate) = service.cold_rate else {
            return ColdRate::Unlimited;
        };
        // The limit applies to any period of one second, so the average rate may slightly exceed
        // the configured rate.
        let excess = rate * (self.bounds.cold_factor - 1.0) + self.bounds.cold_slack;
        ColdRate::PerSecond {
            begun: rate + excess * COLD_EXCESS_SHARE,
            most: rate + excess,
        }
    }
}
