//! What the network alone takes.

use super::node::Node;
use crate::document::spec::NetworkSpec;

/// One-way trips between a caller and the environment in one request.
const CALLER_TRIPS: f64 = 2.0;
/// One-way trips between availability zones in one request, from ingress to egress and back.
const ZONE_TRIPS: f64 = 2.0;
const US_PER_MS: f64 = 1_000.0;

/// Returns the least time of a request that crosses zones, in milliseconds.
pub(super) fn least_ms(root: &Node<'_>) -> Option<f64> {
    let default = NetworkSpec::default();
    let (callers, zones) = match root.field("network") {
        Some(network) => (
            network.number_or("to_callers_us", f64::from(default.to_callers_us))?,
            network.number_or("between_zones_us", f64::from(default.between_zones_us))?,
        ),
        None => (
            f64::from(default.to_callers_us),
            f64::from(default.between_zones_us),
        ),
    };
    Some((CALLER_TRIPS * callers + ZONE_TRIPS * zones) / US_PER_MS)
}
