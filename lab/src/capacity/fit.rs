//! Least-squares lines through measured points.

use std::fmt;

/// One cost, measured at several sizes.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Series {
    /// Name of the measured cost.
    pub measure: String,
    /// Name of the size that was varied.
    pub size: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Pairs of a size and the cost measured at it.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    #[serde(flatten)]
    pub line: Line,
}

/// Straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Line {
    /// Increase in cost per unit of size.
    pub slope: f64,
    /// Cost at size zero.
    pub intercept: f64,
    /// Greatest vertical distance of a point from the line, in the unit of the cost.
    pub residual: f64,
}

impl Series {
    /// Fits a line to the points.
    ///
    /// ```
    /// use mangotray_lab::capacity::fit;
    /// let points = vec![(1.0, 5.0), (2.0, 7.0)];
    /// let series = fit::Series::new("memory", "callers", "kB", points);
    /// assert!((series.line.slope - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn new(
        measure: impl Into<String>,
        size: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let line = Line::through(&points);
        Self {
            measure: measure.into(),
            size,
            unit,
            points,
            line,
        }
    }
}

impl Line {
    /// Fits a line; its slope is zero when all sizes are the same.
    ///
    /// ```
    /// let line = mangotray_lab::capacity::fit::Line::through(&[(0.0, 1.0), (4.0, 3.0)]);
    /// assert!((line.intercept - 1.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.iter().fold(0.0, |count, _| count + 1.0);
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - slope * x - intercept).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self {
            slope,
            intercept,
            residual,
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line {
            slope,
            intercept,
            residual,
        } = self.line;
        let (measure, size, unit) = (&self.measure, self.size, self.unit);
        let sizes: Vec<_> = self.points.iter().map(|(x, _)| x.to_string()).collect();
        write!(
            f,
            "{measure:44} {slope:12.5} {unit} each + {intercept:10.4} (residual {residual:.4}; \
             {size} {})",
            sizes.join(" ")
        )
    }
}

#[cfg(test)]
mod tests;
