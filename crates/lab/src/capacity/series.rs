//! Points of one cost over one size, and the size at which it is read.

use super::fit::{Line, Point, Power};

/// Form of the growth of a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Law {
    /// In proportion to the size, plus a constant.
    Line,
    /// As a power of the size.
    Power,
}

/// Measured cost over a size.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name, also of its files.
    pub name: &'static str,
    /// What the size counts.
    pub x: &'static str,
    /// What the cost is, with its unit.
    pub y: &'static str,
    /// Form of the growth.
    pub law: Law,
    /// Size at which the cost is read.
    pub target: f64,
    /// The points.
    pub points: Vec<Point>,
}

impl Series {
    /// Starts a series without points.
    #[must_use]
    pub fn new(name: &'static str, x: &'static str, y: &'static str, target: f64) -> Self {
        Self {
            name,
            x,
            y,
            law: Law::Line,
            target,
            points: Vec::new(),
        }
    }

    /// Reads the cost from a power of the size in place of a line.
    #[must_use]
    pub fn power(mut self) -> Self {
        self.law = Law::Power;
        self
    }

    /// Adds a point.
    pub fn add(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// Returns the line through the points.
    #[must_use]
    pub fn line(&self) -> Option<Line> {
        Line::fit(&self.points)
    }

    /// Returns the power through the points.
    #[must_use]
    pub fn fitted_power(&self) -> Option<Power> {
        Power::fit(&self.points)
    }

    /// Returns the fitted cost at a size; NaN without a fit.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        let value = match self.law {
            Law::Line => self.line().map(|line| line.at(x)),
            Law::Power => self.fitted_power().map(|power| power.at(x)),
        };
        value.unwrap_or(f64::NAN)
    }
}
