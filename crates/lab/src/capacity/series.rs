//! Measured costs at several sizes, and the fit that extrapolates them to a reference size.

use super::fit::{Line, Point, Power};

/// Model of the growth of a cost with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// Line: proportional to the size, plus a constant.
    Linear,
    /// Power law of the size.
    Power,
}

/// Cost measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the series and, without extension, of its files.
    pub name: &'static str,
    /// Label of the size.
    pub x: &'static str,
    /// Label of the cost, with its unit.
    pub y: &'static str,
    /// Model that [`Series::at`] evaluates.
    pub growth: Growth,
    /// Size at which the summary reports the fitted cost, usually that of the planned system.
    pub reference_size: f64,
    /// Measured points, in the order of measurement.
    pub points: Vec<Point>,
}

impl Series {
    /// Starts a series without points.
    #[must_use]
    pub fn new(name: &'static str, x: &'static str, y: &'static str, reference_size: f64) -> Self {
        Self {
            name,
            x,
            y,
            growth: Growth::Linear,
            reference_size,
            points: Vec::new(),
        }
    }

    /// Models the cost by a power law instead of a line.
    #[must_use]
    pub fn with_power_growth(mut self) -> Self {
        self.growth = Growth::Power;
        self
    }

    /// Adds a point.
    pub fn add(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// Returns the line fitted to the points.
    #[must_use]
    pub fn line(&self) -> Option<Line> {
        Line::fit(&self.points)
    }

    /// Returns the power law fitted to the points.
    #[must_use]
    pub fn fitted_power(&self) -> Option<Power> {
        Power::fit(&self.points)
    }

    /// Returns the fitted cost at a size; NaN when the points determine no fit.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        let value = match self.growth {
            Growth::Linear => self.line().map(|line| line.at(x)),
            Growth::Power => self.fitted_power().map(|power| power.at(x)),
        };
        value.unwrap_or(f64::NAN)
    }
}
