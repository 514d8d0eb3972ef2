//! Tables and plots of the measured series.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use super::plot;
use super::series::{Law, Series};
use crate::error::{Result, io};

/// Writes the summary, and for each series a table as Markdown and as CSV and a plot.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn write(out: &Path, all: &[Series]) -> Result<()> {
    fs::create_dir_all(out).map_err(io("create", out.display().to_string()))?;
    save(&out.join("summary.md"), &summary(all))?;
    for series in all {
        save(&out.join(format!("{}.md", series.name)), &table(series))?;
        save(&out.join(format!("{}.csv", series.name)), &csv(series))?;
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
    let fit = match (series.law, series.line(), series.fitted_power()) {
        (Law::Line, Some(line), _) => format!(
            "{} | {} | {:.4} | {}",
            short(line.slope),
            short(line.intercept),
            line.r2,
            short(line.residual)
        ),
        (Law::Power, _, Some(power)) => format!("power | - | {:.4} (log) | -", power.r2),
        _ => "- | - | - | -".to_owned(),
    };
    format!(
        "| {} | {} | {} | {sizes} | {fit} | {exponent:.2} | {} | {} |",
        series.name,
        series.x,
        series.y,
        series.target,
        short(series.at(series.target)),
    )
}

/// Returns the points of a series as a Markdown table.
#[must_use]
pub fn table(series: &Series) -> String {
    let mut text = format!("| {} | {} | fitted |\n|---|---|---|\n", series.x, series.y);
    for point in &series.points {
        let fitted = short(series.at(point.x));
        let _ = writeln!(text, "| {} | {} | {fitted} |", point.x, short(point.y));
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

/// Writes a number with about four significant digits.
fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 1_000.0 {
        format!("{value:.0}")
    } else if size >= 1.0 || size == 0.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.3e}")
    }
}

fn save(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(io("write", path.display().to_string()))
}
