//! Orders in messages.

use quetzalrack_core::intent::Order;

/// How much of a digest a message shows, in hexadecimal digits.
const SHOWN_DIGITS: usize = 12;

/// Writes an order as the command that gives it, which needs no translation.
pub fn order_text(order: &Order) -> String {
    match order {
        Order::Publish { digest } => format!("publish {}", shortened(digest)),
        Order::Promote { digest } => format!("promote {}", shortened(digest)),
        Order::Rollback { digest, .. } => format!("rollback {}", shortened(digest)),
        Order::ZoneOut { zone, .. } => format!("zone out {zone}"),
        Order::ZoneIn { zone, .. } => format!("zone in {zone}"),
        Order::ServerOut { server, .. } => format!("server out {server}"),
        Order::ServerIn { server, .. } => format!("server in {server}"),
    }
}

/// Shortens a digest; commands take it in this form too.
pub(crate) fn shortened<D>(digest: D) -> String
where
    D: ToString,
{
    digest.to_string().chars().take(SHOWN_DIGITS).collect()
}
