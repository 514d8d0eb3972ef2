//! Least-squares fits of lines and power laws.

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Independent variable, such as the number of hosts.
    pub x: f64,
    /// Value measured at `x`.
    pub y: f64,
}

/// Straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Value at `x` = 0.
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance of `y` that the line explains.
    pub r2: f64,
    /// Root mean square of the residuals, in units of `y`.
    pub residual: f64,
}

impl Line {
    /// Fits a line to the points; `None` unless there are two different values of `x`.
    ///
    /// ```
    /// use tarragon_lab::capacity::fit::{Line, Point};
    ///
    /// let points = [1.0, 2.0, 3.0].map(|x| Point { x, y: 5.0 + 2.0 * x });
    /// let line = Line::fit(&points).unwrap();
    /// assert!((line.slope - 2.0).abs() < 1e-9);
    /// assert!((line.at(10.0) - 25.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn fit(points: &[Point]) -> Option<Self> {
        let count = count(points);
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let squared_deviation = |value: f64, mean: f64| (value - mean).powi(2);
        let xx: f64 = points
            .iter()
            .map(|point| squared_deviation(point.x, mean_x))
            .sum();
        let yy: f64 = points
            .iter()
            .map(|point| squared_deviation(point.y, mean_y))
            .sum();
        let xy = points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y));
        let xy: f64 = xy.sum();
        if points.len() < 2 || xx <= 0.0 {
            return None;
        }
        let slope = xy / xx;
        let intercept = mean_y - slope * mean_x;
        let squared_errors = points.iter().map(|point| {
            let fitted = intercept + slope * point.x;
            (point.y - fitted).powi(2)
        });
        let squared_errors: f64 = squared_errors.sum();
        let r2 = if yy > 0.0 {
            1.0 - squared_errors / yy
        } else {
            1.0
        };
        Some(Self {
            slope,
            intercept,
            r2,
            residual: (squared_errors / count).sqrt(),
        })
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Power law fitted to measured points: `factor * x^exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Power {
    /// Value at `x` = 1.
    pub factor: f64,
    /// Exponent of `x`.
    pub exponent: f64,
    /// Coefficient of determination of the line through the logarithms.
    pub r2: f64,
}

impl Power {
    /// Fits a line to the logarithms of the points with positive coordinates; `None` unless these
    /// have two different values of `x`.
    ///
    /// ```
    /// use tarragon_lab::capacity::fit::{Point, Power};
    ///
    /// let points = [1.0, 2.0, 4.0].map(|x: f64| Point { x, y: 3.0 * x * x });
    /// let power = Power::fit(&points).unwrap();
    /// assert!((power.exponent - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn fit(points: &[Point]) -> Option<Self> {
        let logs: Vec<Point> = points
            .iter()
            .filter(|point| point.x > 0.0 && point.y > 0.0)
            .map(|point| Point {
                x: point.x.ln(),
                y: point.y.ln(),
            })
            .collect();
        let line = Line::fit(&logs)?;
        Some(Self {
            factor: line.intercept.exp(),
            exponent: line.slope,
            r2: line.r2,
        })
    }

    /// Returns the value of the power law at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.exponent)
    }
}

fn count(points: &[Point]) -> f64 {
    u32::try_from(points.len()).map_or(f64::MAX, f64::from)
}
