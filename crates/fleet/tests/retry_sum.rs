//! Repeats of all VMs together stay within the retry budget of a service, while each VM counts
//! its own requests and retries only.
//!
//! VMs are played in virtual time. All retry as often as their shares allow, and the arrivals of
//! all windows are judged by the rule of the budget: at most `ratio` times the requests of the
//! window, of the one before it or of the one half a window before it, whichever are the most,
//! and `extra`.

mod support;

use std::time::Duration;

use onyxfall_fleet::{BudgetLimits, RetryPurpose, RetryShare, SharerCount};
use onyxfall_types::CenterName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::at;

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 52.0,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;
const CENTERS: [&str; 3] = ["c0", "c1", "c2"];
const VMS_PER_CENTER: usize = 2;
const STEP_MS: u64 = 20;
/// Interval at which a VM counts the others.
const TICK_MS: u64 = 100;
const LENGTH_MS: u64 = 60_000;
/// Time for which a VM is down when it restarts, and until it knows all VMs that it reaches.
const DOWN_MS: u64 = 300;
const DISCOVERY_MS: u64 = 500;

/// A time span in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn new(from: u64, to: u64) -> Self {
        Self { from, to }
    }

    fn contains(self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// Requests per second of the VMs of a data centre from a time on.
#[derive(Clone, Copy, Debug)]
struct Demand {
    from: u64,
    center: usize,
    rate: f64,
}

/// What happens to the VMs of a deployment.
#[derive(Clone, Debug, Default)]
struct FleetHistory {
    demands: Vec<Demand>,
    /// Times at which all VMs of a data centre are killed and start again.
    restarts: Vec<(u64, usize)>,
    /// While a data centre is cut off from the others.
    cuts: Vec<(Span, usize)>,
    /// While requests and retries of a data centre are held up; they arrive at the end.
    holds: Vec<(Span, usize)>,
    /// While every VM retries as often as its share allows.
    pressure: Vec<Span>,
}

impl FleetHistory {
    /// A constant demand of `rate` requests per second at each VM, under pressure all the time.
    fn steady(rate: f64) -> Self {
        let demands = (0..CENTERS.len()).map(|center| Demand {
            from: 0,
            center,
            rate,
        });
        Self {
            demands: demands.collect(),
            pressure: vec![Span::new(0, LENGTH_MS)],
            ..Self::default()
        }
    }

    /// A history drawn from a seed.
    fn draw(seed: u64) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let time = |rng: &mut StdRng| rng.random_range(12_000..LENGTH_MS - 5000);
        let span = |rng: &mut StdRng, longest: u64| {
            let from = time(rng);
            Span::new(from, from + rng.random_range(200..longest))
        };
        let mut history = Self::default();
        for center in 0..CENTERS.len() {
            let mut from = 0;
            while from < LENGTH_MS {
                let rate = [0.0, 0.5, 3.0, 10.0, 40.0][rng.random_range(0..5)];
                history.demands.push(Demand { from, center, rate });
                from += rng.random_range(1000..20_000);
            }
        }
        for _ in 0..rng.random_range(0..8) {
            let restart = (time(rng), rng.random_range(0..CENTERS.len()));
            history.restarts.push(restart);
        }
        for _ in 0..rng.random_range(0..3) {
            let cut = (span(rng, 30_000), rng.random_range(0..CENTERS.len()));
            history.cuts.push(cut);
        }
        for _ in 0..rng.random_range(0..4) {
            let hold = (span(rng, 3000), rng.random_range(0..CENTERS.len()));
            history.holds.push(hold);
        }
        for _ in 0..rng.random_range(1..6) {
            history.pressure.push(span(rng, 12_000));
        }
        history
    }

    fn rate(&self, center: usize, now: u64) -> f64 {
        let demands = self.demands.iter().rev();
        let mut past = demands.filter(|demand| demand.center == center && demand.from <= now);
        past.next().map_or(0.0, |demand| demand.rate)
    }

    fn is_cut(&self, center: usize, now: u64) -> bool {
        self.cuts
            .iter()
            .any(|(span, cut)| *cut == center && span.contains(now))
    }

    fn arrival(&self, center: usize, now: u64) -> u64 {
        let holds = self.holds.iter();
        let holds = holds.filter(|(span, held)| *held == center && span.contains(now));
        holds.map(|(span, _)| span.to).max().unwrap_or(now)
    }
}

/// One VM. Its share is lost with its process.
#[derive(Clone, Debug)]
struct ModelVm {
    center: usize,
    started: u64,
    share: RetryShare,
    sharers: SharerCount,
    /// Other VMs that it has ever met in this life.
    met: Vec<bool>,
    /// Part of a request that is due.
    due: f64,
}

impl ModelVm {
    fn start(center: usize, started: u64) -> Self {
        Self {
            center,
            started,
            share: RetryShare::default(),
            sharers: SharerCount::new(CENTERS.map(|center| center.parse().unwrap())),
            met: vec![false; CENTERS.len() * VMS_PER_CENTER],
            due: 0.0,
        }
    }

    /// Claims a retry of the purpose that may use the whole share.
    fn retry(&mut self, now: u64) -> bool {
        let age = at(now - self.started);
        let sharers = self.sharers.known(age);
        self.share
            .try_retry(age, &LIMITS, sharers, RetryPurpose::Resumption)
    }
}

/// Requests and repeats of a service over all VMs, by time of arrival.
#[derive(Clone, Debug, Default)]
struct ServiceArrivals {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl ServiceArrivals {
    /// Plays a history.
    fn play(history: &FleetHistory) -> Self {
        let mut vms: Vec<ModelVm> = (0..CENTERS.len() * VMS_PER_CENTER)
            .map(|vm| ModelVm::start(vm / VMS_PER_CENTER, 0))
            .collect();
        let mut arrivals = Self::default();
        for now in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            for (time, center) in &history.restarts {
                if (now..now + STEP_MS).contains(time) {
                    restart_center(&mut vms, *center, now);
                }
            }
            if now % TICK_MS == 0 {
                meet(&mut vms, history, now);
            }
            for vm in vms.iter_mut().filter(|vm| vm.started <= now) {
                arrivals.run_vm(vm, history, now);
            }
        }
        arrivals.requests.sort_unstable();
        arrivals.repeats.sort_unstable();
        arrivals
    }

    /// Records the requests of one step of a VM, and its retries under pressure.
    fn run_vm(&mut self, vm: &mut ModelVm, history: &FleetHistory, now: u64) {
        vm.due += history.rate(vm.center, now) * STEP_MS as f64 / 1000.0;
        while vm.due >= 1.0 {
            vm.due -= 1.0;
            vm.share.record_first(at(now - vm.started));
            self.requests.push(now);
        }
        let is_pressed = history.pressure.iter().any(|span| span.contains(now));
        while is_pressed && vm.retry(now) {
            self.repeats.push(history.arrival(vm.center, now));
        }
    }

    /// Largest excess of the repeats of a window over the budget, in repeats.
    fn excess(&self) -> f64 {
        let within = |times: &[u64], from: i64| {
            let end = from + i64::try_from(WINDOW_MS).unwrap();
            let index =
                |bound: i64| times.partition_point(|time| i64::try_from(*time).unwrap() < bound);
            index(end) - index(from)
        };
        let windows = self.repeats.iter().map(|start| {
            let start = i64::try_from(*start).unwrap();
            let window = i64::try_from(WINDOW_MS).unwrap();
            let starts = [start, start - window, start - window / 2];
            let requests = starts.map(|from| within(&self.requests, from));
            let most = requests.into_iter().max().unwrap_or(0);
            let allowed = LIMITS.ratio * most as f64 + LIMITS.extra;
            within(&self.repeats, start) as f64 - allowed
        });
        windows.fold(f64::MIN, f64::max)
    }
}

fn restart_center(vms: &mut [ModelVm], center: usize, now: u64) {
    for vm in vms.iter_mut().filter(|vm| vm.center == center) {
        *vm = ModelVm::start(center, now + DOWN_MS);
    }
}

/// Lets VMs meet those that they reach. A VM that was met is known while it is down or cut off.
fn meet(vms: &mut [ModelVm], history: &FleetHistory, now: u64) {
    let names = CENTERS.map(|center| center.parse::<CenterName>().unwrap());
    let centers: Vec<usize> = vms.iter().map(|vm| vm.center).collect();
    let is_up: Vec<bool> = vms
        .iter()
        .map(|vm| vm.started + DISCOVERY_MS <= now)
        .collect();
    for (own, vm) in vms.iter_mut().enumerate().filter(|(own, _)| is_up[*own]) {
        let is_own_cut = history.is_cut(vm.center, now);
        for other in (0..centers.len()).filter(|other| *other != own && is_up[*other]) {
            let is_cut = is_own_cut || history.is_cut(centers[other], now);
            if centers[other] == vm.center || !is_cut {
                vm.met[other] = true;
            }
        }
        let known = (0..centers.len()).filter(|other| *other == own || vm.met[*other]);
        vm.sharers.update(known.map(|vm| &names[centers[vm]]));
    }
}

fn check(history: &FleetHistory) {
    let arrivals = ServiceArrivals::play(history);
    assert!(!arrivals.repeats.is_empty(), "nothing was retried");
    let excess = arrivals.excess();
    assert!(
        excess <= 0.0,
        "{excess:.1} repeats beyond the budget: {history:?}"
    );
}

#[test]
fn steady_vms_stay_within_the_budget() {
    check(&FleetHistory::steady(0.5));
    check(&FleetHistory::steady(10.0));
}

#[test]
fn vms_that_restart_within_a_window_do_not_use_the_fixed_part_again() {
    let mut history = FleetHistory::steady(0.5);
    history.restarts = vec![
        (20_000, 0),
        (21_000, 1),
        (22_000, 2),
        (26_000, 0),
        (26_000, 1),
    ];
    check(&history);
}

#[test]
fn vms_that_start_behind_a_cut_do_not_use_the_part_of_those_that_they_lack() {
    let mut history = FleetHistory::steady(0.5);
    history.cuts = (0..3)
        .map(|center| (Span::new(15_000, 50_000), center))
        .collect();
    history.restarts = vec![(16_000, 0), (16_000, 1), (16_000, 2)];
    check(&history);
}

#[test]
fn callers_that_move_between_vms_do_not_pay_for_a_window_twice() {
    let mut history = FleetHistory::steady(0.0);
    history.demands = vec![
        Demand {
            from: 0,
            center: 0,
            rate: 40.0,
        },
        Demand {
            from: 20_000,
            center: 0,
            rate: 0.0,
        },
        Demand {
            from: 20_000,
            center: 1,
            rate: 40.0,
        },
    ];
    history.pressure = vec![Span::new(19_500, LENGTH_MS)];
    check(&history);
}

#[test]
fn repeats_that_are_held_up_do_not_arrive_with_those_of_the_next_window() {
    let mut history = FleetHistory::steady(10.0);
    history.holds = (0..3)
        .map(|center| (Span::new(17_000, 20_000), center))
        .collect();
    history.pressure = vec![Span::new(17_000, 18_000), Span::new(26_900, 40_000)];
    check(&history);
}

#[test]
fn repeats_of_drawn_histories_stay_within_the_budget() {
    let broken: Vec<(u64, f64)> = (0..200)
        .map(|seed| {
            (
                seed,
                ServiceArrivals::play(&FleetHistory::draw(seed)).excess(),
            )
        })
        .filter(|(_, excess)| *excess > 0.0)
        .collect();
    let most = broken.iter().map(|(_, excess)| *excess).fold(0.0, f64::max);
    assert!(
        broken.is_empty(),
        "{} of 200, at most {most:.1}: {broken:.1?}",
        broken.len()
    );
}
