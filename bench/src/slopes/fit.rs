//! Lines through measured points.

use serde::Serialize;

/// A straight line, with how far the points lie from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// The value at zero.
    pub at_zero: f64,
    /// What each unit of size adds.
    pub slope: f64,
    /// Largest distance of a point from the line, in parts of the largest value.
    pub error: f64,
}

impl Line {
    /// Fits the line of least squares; a single point makes a level line.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX)).max(1.0);
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let at_zero = mean_y - slope * mean_x;
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let off = points
            .iter()
            .map(|point| (point.1 - at_zero - slope * point.0).abs())
            .fold(0.0, f64::max);
        let error = if largest > 0.0 { off / largest } else { 0.0 };
        Self {
            at_zero,
            slope,
            error,
        }
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn line_fit_exact() {
        let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
        assert!((line.at_zero - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
        assert!(line.error < 1e-9 && (line.at(10.0) - 23.0).abs() < 1e-9);
    }

    #[test]
    fn line_fit_single_point_is_level() {
        let line = Line::fit(&[(8.0, 4.0)]);
        assert!((line.at(100.0) - 4.0).abs() < 1e-9);
    }

    #[test]
    fn line_fit_error_of_worst_point() {
        let line = Line::fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]);
        assert!(line.error > 0.5);
    }
}
