//! Online linear regression.
//!
//! Recursive least squares with exponential forgetting, in the form of a Kalman filter whose
//! covariance never exceeds that of the prior, so that an input that stays constant for long
//! cannot make the estimate unstable. Errors are relative to the prediction, and single
//! outliers (a lost packet, a stalled VM) have little influence.
//!
//! Invariant: weights stay finite and within their bounds.

/// Forgetting factor per observation, which gives a memory of about 200 observations. By
/// calculation, five weights then stay within 5 % at a noise of 30 %.
const FORGETTING_FACTOR: f64 = 0.995;
/// Typical error of one observation, relative to the prediction. In three measured runs with
/// peak load, half of all first bytes arrived within 0.7 to 1.2 of the predicted time, and
/// four in five within 0.5 to 1.7.
const NOISE: f64 = 0.35;
/// Least error of one observation, in the unit of the estimate.
const MIN_NOISE: f64 = 2.0;
/// Errors are clamped to this many standard deviations.
const OUTLIER: f64 = 2.0;
/// Standard deviation of the prior, relative to its values.
const PRIOR_SPREAD: f64 = 2.0;
/// Weight of a new error in the mean error.
const DRIFT_GAIN: f64 = 0.1;
/// Mean error, in standard deviations, above which the service is assumed to have changed and
/// past observations are discarded. By calculation, 15 consecutive observations of 1.5 times
/// the prediction reach it, and it is 4.8 times the spread of the mean error under typical
/// noise.
const DRIFT_LIMIT: f64 = 1.1;
/// Number of observations before the mean error is meaningful.
const DRIFT_MIN_SAMPLES: u32 = 20;

/// Linear model of `N` weights, fitted online.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit<const N: usize> {
    weights: [f64; N],
    bounds: [(f64, f64); N],
    prior: [f64; N],
    covariance: [[f64; N]; N],
    samples: u32,
    /// Running mean of the error, in standard deviations.
    drift: f64,
}

impl<const N: usize> LinearFit<N> {
    /// Creates a model with the weights of `prior`. Weights stay within `bounds`.
    ///
    /// ```
    /// use onyxfall_fleet::LinearFit;
    /// let mut fit = LinearFit::new([10.0], [(0.0, 1000.0)]);
    /// for _ in 0..100 {
    ///     fit.learn(&[1.0], 50.0, 1.0);
    /// }
    /// assert!((fit.predict(&[1.0]) - 50.0).abs() < 2.0);
    /// ```
    pub fn new(prior: [f64; N], bounds: [(f64, f64); N]) -> Self {
        let mut fit = Self {
            weights: prior,
            bounds,
            prior,
            covariance: [[0.0; N]; N],
            samples: 0,
            drift: 0.0,
        };
        fit.reset_covariance();
        fit
    }

    /// Number of observations so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Current weights of the model.
    pub fn weights(&self) -> &[f64; N] {
        &self.weights
    }

    /// The prediction for `input`.
    pub fn predict(&self, input: &[f64; N]) -> f64 {
        dot(&self.weights, input).max(0.0)
    }

    /// Learns from an observation. A `uncertainty` of 1 gives it the normal weight, and larger
    /// values reduce it. Observations that are not finite are ignored.
    pub fn learn(&mut self, input: &[f64; N], observed: f64, uncertainty: f64) {
        let is_valid = observed.is_finite() && uncertainty.is_finite() && observed >= 0.0;
        if !is_valid || input.iter().any(|x| !x.is_finite()) {
            return;
        }
        let predicted = self.predict(input);
        let noise = (NOISE * predicted).max(MIN_NOISE) * uncertainty.max(1.0);
        self.update_drift((observed - predicted) / noise);
        let cov_input = self.covariance.map(|row| dot(&row, input));
        let variance = dot(&cov_input, input) + noise * noise;
        let limit = OUTLIER * variance.sqrt();
        let error = (observed - predicted).clamp(-limit, limit);
        let bounds = self.bounds.iter().zip(&cov_input);
        for (weight, ((low, high), cov_input)) in self.weights.iter_mut().zip(bounds) {
            *weight = (*weight + cov_input / variance * error).clamp(*low, *high);
        }
        for i in 0..N {
            for j in 0..N {
                self.covariance[i][j] -= cov_input[i] * cov_input[j] / variance;
                self.covariance[i][j] /= FORGETTING_FACTOR;
            }
        }
        self.bound_covariance();
        self.samples = self.samples.saturating_add(1);
    }

    /// Discards past observations when errors of one sign persist.
    fn update_drift(&mut self, error: f64) {
        let error = error.clamp(-OUTLIER, OUTLIER);
        self.drift += DRIFT_GAIN * (error - self.drift);
        if self.samples >= DRIFT_MIN_SAMPLES && self.drift.abs() > DRIFT_LIMIT {
            self.drift = 0.0;
            self.reset_covariance();
        }
    }

    /// Resets the covariance to that of the prior, so that new observations dominate.
    fn reset_covariance(&mut self) {
        self.covariance = [[0.0; N]; N];
        for i in 0..N {
            self.covariance[i][i] = self.prior_variance(i);
        }
    }

    fn prior_variance(&self, i: usize) -> f64 {
        (PRIOR_SPREAD * self.prior[i]).powi(2)
    }

    /// Scales variances that exceed those of the prior back to the prior.
    fn bound_covariance(&mut self) {
        for i in 0..N {
            let limit = self.prior_variance(i);
            let variance = self.covariance[i][i];
            if variance > limit {
                let scale = (limit / variance).sqrt();
                for j in 0..N {
                    self.covariance[i][j] *= scale;
                    self.covariance[j][i] *= scale;
                }
            }
        }
    }
}

/// Dot product of two vectors.
pub(crate) fn dot<const N: usize>(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
