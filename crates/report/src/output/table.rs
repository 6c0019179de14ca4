//! The report as text.

use std::fmt::Write;

use crate::burn::BurnReport;
use crate::burn::ServiceBurn;
use crate::burn::ServiceShape;
use crate::burn::WindowBurn;

/// A rate above this is shown as such; there is no budget at all then.
const MOST_SHOWN: f64 = 99_999.0;

/// Writes the report as a table for a terminal.
pub fn table(report: &BurnReport) -> String {
    let mut text = String::new();
    let seconds = report.to.since(report.from).as_secs_f64();
    let (nodes, restarts) = (report.nodes, report.restarts);
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{}: {nodes} nodes, {restarts} restarts, {seconds:.0} s\n",
        report.environment
    );
    let _ = writeln!(
        text,
        "{:<16} {:<14} {:>9} {:>8} {:>8} {:>9} {:>16} {:>16} {:>8} {:>8}  spent by",
        "service",
        "zone",
        "requests",
        "promise%",
        "good%",
        "left%",
        "fast long/short",
        "slow long/short",
        "p50 ms",
        "p99 ms"
    );
    for burn in &report.services {
        let _ = writeln!(text, "{}", burn_line(burn));
    }
    let _ = writeln!(
        text,
        "\n{:<16} {:>9} {:>8} {:>8} {:>9} {:>7} {:>14}",
        "service", "imbalance", "servers", "granted", "released", "lapsed", "unavailable ms"
    );
    for shape in &report.shapes {
        let _ = writeln!(text, "{}", shape_line(shape));
    }
    text
}

fn burn_line(burn: &ServiceBurn) -> String {
    let zone = burn.zone.as_ref().map_or("all", |zone| zone.as_str());
    let faults = burn.faults.iter();
    let faults: Vec<_> = faults
        .map(|share| format!("{} {}", share.fault, share.count))
        .collect();
    let line = format!(
        "{:<16} {zone:<14} {:>9} {:>8.2} {:>8.3} {:>9} {:>16} {:>16} {:>8.1} {:>8.1}  {}",
        burn.service,
        burn.requests,
        burn.objective,
        burn.good,
        short(burn.left, 1),
        window(&burn.fast),
        window(&burn.slow),
        burn.p50_ms,
        burn.p99_ms,
        faults.join(", ")
    );
    line.trim_end().to_owned()
}

fn shape_line(shape: &ServiceShape) -> String {
    let moves = &shape.moves;
    format!(
        "{:<16} {:>9.2} {:>8} {:>8} {:>9} {:>7} {:>14}",
        shape.service,
        shape.imbalance,
        shape.servers,
        moves.granted,
        moves.released,
        moves.lapsed,
        moves.unavailable_ms
    )
}

fn window(burn: &WindowBurn) -> String {
    let mark = if burn.alert { "!" } else { "" };
    format!("{}/{}{mark}", short(burn.long, 2), short(burn.short, 2))
}

pub(super) fn short(value: f64, digits: usize) -> String {
    if value > MOST_SHOWN {
        return format!(">{MOST_SHOWN}");
    }
    if value < -MOST_SHOWN {
        return format!("<-{MOST_SHOWN}");
    }
    format!("{value:.digits$}")
}
