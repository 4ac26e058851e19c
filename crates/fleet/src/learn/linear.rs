//! A linear estimate that is corrected by each observation.
//!
//! Recursive least squares with forgetting, in the form of a Kalman filter whose
//! uncertainty never exceeds that of the prior: an input that stays the same for
//! long cannot make the estimate unstable. Errors are taken relative to the
//! prediction, and single outliers (a lost packet, a stalled VM) count little.
//!
//! Invariant: weights stay finite and within their bounds.

/// Part of what is known that is kept at each observation: a memory of some 200. By
/// arithmetic, five weights stay within 5 % at a noise of 30 % with it.
const KEEP: f64 = 0.995;
/// Usual error of one observation, relative to the prediction. On three days with a
/// rush half of all first bytes came within 0.7 to 1.2 of the predicted time, four in
/// five within 0.5 to 1.7.
const NOISE: f64 = 0.35;
/// Least error of one observation, in units of what is estimated.
const LEAST_NOISE: f64 = 2.0;
/// Errors beyond this many standard deviations count as this many.
const OUTLIER: f64 = 2.0;
/// Standard deviation of the prior, relative to its values.
const PRIOR_SPREAD: f64 = 2.0;
/// Weight of a new error in the running error.
const DRIFT_GAIN: f64 = 0.1;
/// Running error, in standard deviations, from which the past is forgotten: the
/// service has changed. By arithmetic, fifteen observations in a row that are half as
/// much again as predicted reach it, and it is 4.8 times the spread that noise of the
/// usual size gives the running error.
const DRIFT_LIMIT: f64 = 1.1;
/// Observations until which a running error says nothing.
const DRIFT_START: u32 = 20;

/// An estimate of `N` weights.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit<const N: usize> {
    weights: [f64; N],
    bounds: [(f64, f64); N],
    prior: [f64; N],
    covariance: [[f64; N]; N],
    samples: u32,
    drift: f64,
}

impl<const N: usize> LinearFit<N> {
    /// An estimate that knows only a prior; weights stay within `bounds`.
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
        fit.forget();
        fit
    }

    /// Number of observations so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The weights.
    pub fn weights(&self) -> &[f64; N] {
        &self.weights
    }

    /// The estimate for an input.
    pub fn predict(&self, input: &[f64; N]) -> f64 {
        dot(&self.weights, input).max(0.0)
    }

    /// Takes an observation; `doubt` of 1 is the usual trust, more is less.
    /// Observations that are no numbers are ignored.
    pub fn learn(&mut self, input: &[f64; N], observed: f64, doubt: f64) {
        let is_sound = observed.is_finite() && doubt.is_finite() && observed >= 0.0;
        if !is_sound || input.iter().any(|x| !x.is_finite()) {
            return;
        }
        let predicted = self.predict(input);
        let noise = (NOISE * predicted).max(LEAST_NOISE) * doubt.max(1.0);
        self.note_drift((observed - predicted) / noise);
        let along = self.covariance.map(|row| dot(&row, input));
        let variance = dot(&along, input) + noise * noise;
        let limit = OUTLIER * variance.sqrt();
        let error = (observed - predicted).clamp(-limit, limit);
        let bounds = self.bounds.iter().zip(&along);
        for (weight, ((low, high), along)) in self.weights.iter_mut().zip(bounds) {
            *weight = (*weight + along / variance * error).clamp(*low, *high);
        }
        for i in 0..N {
            for j in 0..N {
                self.covariance[i][j] -= along[i] * along[j] / variance;
                self.covariance[i][j] /= KEEP;
            }
        }
        self.bound_covariance();
        self.samples = self.samples.saturating_add(1);
    }

    /// Forgets what was observed when errors of one sign go on.
    fn note_drift(&mut self, error: f64) {
        let error = error.clamp(-OUTLIER, OUTLIER);
        self.drift += DRIFT_GAIN * (error - self.drift);
        if self.samples >= DRIFT_START && self.drift.abs() > DRIFT_LIMIT {
            self.drift = 0.0;
            self.forget();
        }
    }

    fn forget(&mut self) {
        self.covariance = [[0.0; N]; N];
        for i in 0..N {
            self.covariance[i][i] = self.prior_variance(i);
        }
    }

    fn prior_variance(&self, i: usize) -> f64 {
        (PRIOR_SPREAD * self.prior[i]).powi(2)
    }

    /// Scales what has become more uncertain than the prior back to it.
    fn bound_covariance(&mut self) {
        for i in 0..N {
            let most = self.prior_variance(i);
            let now = self.covariance[i][i];
            if now > most {
                let scale = (most / now).sqrt();
                for j in 0..N {
                    self.covariance[i][j] *= scale;
                    self.covariance[j][i] *= scale;
                }
            }
        }
    }
}

pub(crate) fn dot<const N: usize>(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
