//! SVG plots of measured points and their fit.

use std::path::Path;

use plotters::prelude::*;

use super::fit::Point;
use super::series::Series;
use crate::error::{Error, Result};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (640, 400);
/// Number of segments of the fitted curve.
const CURVE_SEGMENTS: u32 = 64;
/// Ratio of the end of an axis to the largest value.
const HEADROOM: f64 = 1.1;
/// Radius of a point, in pixels.
const RADIUS: u32 = 4;

/// Draws the points of a series and its fit to an SVG file.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn draw(path: &Path, series: &Series) -> Result<()> {
    let file = path.display().to_string();
    try_draw(path, series).map_err(|error| Error::Io {
        step: "plot",
        peer: file,
        source: std::io::Error::other(error.to_string()),
    })
}

fn try_draw(path: &Path, series: &Series) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let right = axis_end(series, |point| point.x);
    let top = axis_end(series, |point| point.y);
    let mut chart = ChartBuilder::on(&root)
        .caption(series.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc(series.x)
        .y_desc(series.y)
        .draw()?;
    let step = right / f64::from(CURVE_SEGMENTS);
    let fitted = (0..=CURVE_SEGMENTS).map(|index| f64::from(index) * step);
    let fitted = fitted.map(|x| (x, series.at(x)));
    chart.draw_series(LineSeries::new(fitted, &BLUE))?;
    let points = series.points.iter();
    chart.draw_series(points.map(|point| Circle::new((point.x, point.y), RADIUS, RED.filled())))?;
    root.present()?;
    Ok(())
}

/// Returns the end of the axis for a coordinate; positive also for a series of zeros.
fn axis_end(series: &Series, value: impl Fn(&Point) -> f64) -> f64 {
    let largest = series.points.iter().map(value).fold(0.0, f64::max);
    (largest * HEADROOM).max(f64::MIN_POSITIVE)
}
