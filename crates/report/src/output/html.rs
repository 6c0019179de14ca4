//! The report as one HTML page that needs nothing else.

use std::fmt::Write;

use super::OutputError;
use super::plot;
use super::table::short;
use crate::burn::BurnReport;
use crate::burn::ServiceBurn;
use crate::burn::WindowBurn;

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:70em}\
table{border-collapse:collapse;margin:1em 0}\
td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}\
td:first-child,th:first-child,td.t{text-align:left}\
.alert{background:#fdd}svg{max-width:100%;height:auto}";

/// Writes the page; names hold no character that HTML treats specially, by their own rule.
pub fn html(report: &BurnReport) -> Result<String, OutputError> {
    let mut page = String::new();
    let title = format!("{}: service-level burn", report.environment);
    // Writing to a string can't fail.
    let _ = write!(
        page,
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n<p>{} nodes, {} restarts, {:.0} s</p>\n",
        report.nodes,
        report.restarts,
        report.to.since(report.from).as_secs_f64()
    );
    page.push_str(&burn_table(report));
    page.push_str(&plot::burn_plot(report)?);
    page.push_str(&plot::fault_plot(report)?);
    page.push_str(&shape_table(report));
    page.push_str("</body></html>\n");
    Ok(page)
}

fn burn_table(report: &BurnReport) -> String {
    let mut rows = String::from(
        "<table><tr><th>service</th><th>zone</th><th>requests</th><th>promised %</th>\
         <th>good %</th><th>budget left %</th><th>fast burn</th><th>slow burn</th>\
         <th>p50 ms</th><th>p99 ms</th><th>spent by</th></tr>\n",
    );
    for burn in &report.services {
        rows.push_str(&burn_row(burn));
    }
    rows.push_str("</table>\n");
    rows
}

fn burn_row(burn: &ServiceBurn) -> String {
    let zone = burn.zone.as_ref().map_or("all", |zone| zone.as_str());
    let faults = burn.faults.iter();
    let faults: Vec<_> = faults
        .map(|share| {
            format!(
                "{} {} ({:.0} %)",
                share.fault,
                share.count,
                share.share * 100.0
            )
        })
        .collect();
    format!(
        "<tr><td>{}</td><td class=\"t\">{zone}</td><td>{}</td><td>{:.2}</td><td>{:.3}</td>\
         <td>{}</td>{}{}<td>{:.1}</td><td>{:.1}</td><td class=\"t\">{}</td></tr>\n",
        burn.service,
        burn.requests,
        burn.objective,
        burn.good,
        short(burn.left, 1),
        window_cell(&burn.fast),
        window_cell(&burn.slow),
        burn.p50_ms,
        burn.p99_ms,
        faults.join(", ")
    )
}

fn window_cell(burn: &WindowBurn) -> String {
    let class = if burn.alert { " class=\"alert\"" } else { "" };
    format!(
        "<td{class}>{} / {}</td>",
        short(burn.long, 2),
        short(burn.short, 2)
    )
}

fn shape_table(report: &BurnReport) -> String {
    let mut rows = String::from(
        "<table><tr><th>service</th><th>imbalance</th><th>backend servers</th><th>granted</th>\
         <th>released</th><th>lapsed</th><th>unavailable ms</th></tr>\n",
    );
    for shape in &report.shapes {
        let moves = &shape.moves;
        let _ = writeln!(
            rows,
            "<tr><td>{}</td><td>{:.2}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            shape.service,
            shape.imbalance,
            shape.servers,
            moves.granted,
            moves.released,
            moves.lapsed,
            moves.unavailable_ms
        );
    }
    rows.push_str("</table>\n");
    rows
}
