//! Tables and plots of the series.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use super::plot;
use super::series::{Growth, Series};
use crate::error::{Result, io};

/// Writes the summary, and for each series its points as Markdown and CSV and a plot.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn write(out: &Path, all: &[Series]) -> Result<()> {
    fs::create_dir_all(out).map_err(io("create", out.display().to_string()))?;
    write_file(&out.join("summary.md"), &summary(all))?;
    for series in all {
        write_file(&out.join(format!("{}.md", series.name)), &table(series))?;
        write_file(&out.join(format!("{}.csv", series.name)), &csv(series))?;
        plot::draw(&out.join(format!("{}.svg", series.name)), series)?;
    }
    Ok(())
}

/// Returns the fits of all series as a Markdown table.
#[must_use]
pub fn summary(all: &[Series]) -> String {
    let mut text = String::from(
        "| series | x | y | sizes | slope | at 0 | R2 | residual | exponent | read at | value |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for series in all {
        let _ = writeln!(text, "{}", row(series));
    }
    text
}

fn row(series: &Series) -> String {
    let sizes = match (series.points.first(), series.points.last()) {
        (Some(first), Some(last)) => format!("{}..{}", first.x, last.x),
        _ => String::new(),
    };
    let exponent = series.fitted_power().map_or(f64::NAN, |fit| fit.exponent);
    let fit = match (series.growth, series.line(), series.fitted_power()) {
        (Growth::Linear, Some(line), _) => format!(
            "{} | {} | {:.4} | {}",
            format_number(line.slope),
            format_number(line.intercept),
            line.r2,
            format_number(line.residual)
        ),
        (Growth::Power, _, Some(power)) => format!("power | - | {:.4} (log) | -", power.r2),
        _ => "- | - | - | -".to_owned(),
    };
    format!(
        "| {} | {} | {} | {sizes} | {fit} | {exponent:.2} | {} | {} |",
        series.name,
        series.x,
        series.y,
        series.reference_size,
        format_number(series.at(series.reference_size)),
    )
}

/// Returns the points of a series as a Markdown table.
#[must_use]
pub fn table(series: &Series) -> String {
    let mut text = format!("| {} | {} | fitted |\n|---|---|---|\n", series.x, series.y);
    for point in &series.points {
        let fitted = format_number(series.at(point.x));
        let _ = writeln!(
            text,
            "| {} | {} | {fitted} |",
            point.x,
            format_number(point.y)
        );
    }
    text
}

/// Returns the points of a series as CSV.
#[must_use]
pub fn csv(series: &Series) -> String {
    let mut text = format!("\"{}\",\"{}\"\n", series.x, series.y);
    for point in &series.points {
        let _ = writeln!(text, "{},{}", point.x, point.y);
    }
    text
}

/// Formats a number with about four significant digits.
fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1_000.0 {
        format!("{value:.0}")
    } else if size >= 1.0 || size == 0.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.3e}")
    }
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(io("write", path.display().to_string()))
}
