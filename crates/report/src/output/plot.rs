//! The plots, as SVG.

use std::error::Error;

use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::prelude::IntoSegmentedCoord;
use plotters::prelude::SVGBackend;
use plotters::prelude::SegmentValue;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::PaletteColor;
use plotters::style::WHITE;
use quetzalrack_core::burn::RequestOutcome;

use super::OutputError;
use crate::burn::BurnReport;
use crate::burn::BurnWindows;
use crate::burn::ServiceBurn;

const SIZE: (u32, u32) = (960, 320);
const MARGIN: u32 = 12;
const LABELS: u32 = 44;
/// The least height of a plot of burn rates, so that a small rate does not look like a great one.
const LEAST_RATE: f64 = 2.0;
/// The greatest burn rate shown.
const MOST_RATE: f64 = 1_000.0;
const HEADROOM: f64 = 1.1;

/// Draws each service's burn rate over time.
pub(super) fn burn_plot(report: &BurnReport) -> Result<String, OutputError> {
    draw(|area| draw_burn(report, area))
}

/// Draws each service's faults by kind.
pub(super) fn fault_plot(report: &BurnReport) -> Result<String, OutputError> {
    draw(|area| draw_faults(report, area))
}

type Area<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Drawn = Result<(), Box<dyn Error>>;

fn draw<F>(draw_on: F) -> Result<String, OutputError>
where
    F: FnOnce(&Area<'_>) -> Drawn,
{
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let drawn = area.fill(&WHITE).map_err(Box::<dyn Error>::from);
        drawn
            .and_then(|()| draw_on(&area))
            .and_then(|()| area.present().map_err(Box::<dyn Error>::from))
            .map_err(|error| OutputError::Plot(error.to_string()))?;
    }
    Ok(svg)
}

fn draw_burn(report: &BurnReport, area: &Area<'_>) -> Drawn {
    let points = report.shapes.iter().flat_map(|shape| &shape.course);
    let seconds = points.clone().map(|point| point.second).fold(1.0, f64::max);
    let most = points
        .map(|point| point.rate.min(MOST_RATE))
        .fold(LEAST_RATE, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .caption("burn rate", ("sans-serif", 18))
        .build_cartesian_2d(0.0..seconds, 0.0..most * HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("times allowed")
        .draw()?;
    for rate in [1.0, BurnWindows::SLOW_RATE, BurnWindows::FAST_RATE] {
        let limit = [(0.0, rate), (seconds, rate)];
        chart.draw_series(LineSeries::new(limit, BLACK.mix(0.3)))?;
    }
    for (index, shape) in report.shapes.iter().enumerate() {
        let color = Palette99::pick(index);
        let course = shape.course.iter();
        let line = course.map(|point| (point.second, point.rate.min(MOST_RATE)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(shape.service.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], Palette99::pick(index)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

fn draw_faults(report: &BurnReport, area: &Area<'_>) -> Drawn {
    let burns: Vec<&ServiceBurn> = report
        .services
        .iter()
        .filter(|burn| burn.zone.is_none())
        .collect();
    let bars = burns.len() * RequestOutcome::FAULTS.len();
    if bars == 0 {
        return Ok(());
    }
    let counts = burns
        .iter()
        .flat_map(|burn| burn.faults.iter().map(|share| share.count));
    let most = counts.max().unwrap_or_default().max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .caption("requests that spent budget", ("sans-serif", 18))
        .build_cartesian_2d((0..bars).into_segmented(), 0..most + most / 10 + 1)?;
    let name = |value: &SegmentValue<usize>| match value {
        SegmentValue::CenterOf(bar) if bar % RequestOutcome::FAULTS.len() == 1 => {
            let burn = burns.get(bar / RequestOutcome::FAULTS.len());
            burn.map_or_else(String::new, |burn| burn.service.to_string())
        }
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars + 1)
        .x_label_formatter(&name)
        .draw()?;
    for (kind, fault) in RequestOutcome::FAULTS.into_iter().enumerate() {
        let bars = burns.iter().enumerate().map(|(index, burn)| {
            let mut shares = burn.faults.iter();
            let count = shares
                .find(|share| share.fault == fault)
                .map_or(0, |share| share.count);
            let bar = index * RequestOutcome::FAULTS.len() + kind;
            let from = (SegmentValue::Exact(bar), 0);
            let to = (SegmentValue::Exact(bar + 1), count);
            Rectangle::new([from, to], Palette99::pick(kind).filled())
        });
        chart
            .draw_series(bars)?
            .label(fault.to_string())
            .legend(move |(x, y)| {
                let style = PaletteColor::<Palette99>::pick(kind).filled();
                Rectangle::new([(x, y - 5), (x + 10, y + 5)], style)
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}
