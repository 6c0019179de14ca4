//! A result as a plot.

use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::Color;

use super::ExperimentResult;
use crate::LoadError;

const SIZE: (u32, u32) = (900, 420);

/// Draws the lines over time.
pub(super) fn plot(result: &ExperimentResult, path: &Path) -> Result<(), LoadError> {
    draw(result, path).map_err(|error| LoadError::Plot(error.to_string()))
}

fn draw(result: &ExperimentResult, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let points = || result.lines.iter().flat_map(|line| &line.points);
    let right = points().map(|point| point.x).fold(1.0, f64::max);
    let top = points().map(|point| point.y).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{}: {}", result.name, result.plotted),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (number, line) in result.lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = line.points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(line.label.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
