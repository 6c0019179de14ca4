//! The schema as the checker reads it; a test compares it with the typed document.

use super::field_rule::FieldRule;
use super::kind::Kind;

const MAX_ZONES: usize = 64;
const MAX_SERVICES: usize = 256;
const MAX_ROUTES: usize = 256;
const MAX_COUNT: u64 = 100_000;
const MAX_SLICES: u64 = 65_536;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const TEN_SECONDS_US: u64 = 10_000_000;
const MAX_BODY: u64 = 16 * 1024 * 1024 * 1024;

/// The whole document.
pub(super) const DOCUMENT: Kind = Kind::Object(&[
    FieldRule::required("environment", Kind::Name),
    FieldRule::required("zones", Kind::List(&Kind::Name, MAX_ZONES)),
    FieldRule::optional("network", NETWORK),
    FieldRule::optional("ownership", OWNERSHIP),
    FieldRule::required("services", Kind::List(&SERVICE, MAX_SERVICES)),
]);

const NETWORK: Kind = Kind::Object(&[
    FieldRule::optional("between_zones_us", Kind::Whole(0, TEN_SECONDS_US)),
    FieldRule::optional("to_callers_us", Kind::Whole(0, TEN_SECONDS_US)),
]);

const OWNERSHIP: Kind = Kind::Object(&[
    FieldRule::optional("lease_ms", Kind::Whole(100, MINUTE_MS)),
    FieldRule::optional("heartbeat_ms", Kind::Whole(10, MINUTE_MS)),
    FieldRule::optional("margin_ms", Kind::Whole(1, MINUTE_MS)),
]);

const SERVICE: Kind = Kind::Object(&[
    FieldRule::required("name", Kind::Name),
    FieldRule::optional("divided_by_key", Kind::Truth),
    FieldRule::optional("slices", Kind::Count(MAX_SLICES)),
    FieldRule::required("servers", Kind::Count(MAX_COUNT)),
    FieldRule::required("slots", Kind::Count(MAX_COUNT)),
    FieldRule::required("connections", Kind::Count(MAX_COUNT)),
    FieldRule::optional("cold_slots", Kind::Count(MAX_COUNT)),
    FieldRule::optional("warm_up_ms", Kind::Whole(0, HOUR_MS)),
    FieldRule::optional("connect_cost_ms", Kind::Whole(0, MINUTE_MS)),
    FieldRule::optional("probe_cost_ms", Kind::Whole(0, MINUTE_MS)),
    FieldRule::optional("checks_fence", Kind::Truth),
    FieldRule::required("routes", Kind::List(&ROUTE, MAX_ROUTES)),
]);

const ROUTE: Kind = Kind::Object(&[
    FieldRule::required("name", Kind::Name),
    FieldRule::required("method", Kind::Choice(&["GET", "POST", "PUT", "DELETE"])),
    FieldRule::required("path", Kind::Path),
    FieldRule::required("repeatable", Kind::Truth),
    FieldRule::required("deadline_ms", Kind::Whole(1, HOUR_MS)),
    FieldRule::optional("priority", Kind::Choice(&["low", "normal", "high"])),
    FieldRule::optional("body_bytes", Kind::Whole(0, MAX_BODY)),
    FieldRule::required("objective", OBJECTIVE),
]);

const OBJECTIVE: Kind = Kind::Object(&[
    FieldRule::required("latency_ms", Kind::Whole(1, HOUR_MS)),
    FieldRule::required("good_percent", Kind::Decimal(0.0, 100.0)),
]);
