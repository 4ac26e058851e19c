//! Team quotas spent by importance: what callers of each kind get while a team exceeds its
//! quota.
//!
//! The tests run in virtual time. Requests arrive at random VMs of three regions, sums of the
//! own region are 0.15 s old, and reports of other regions, which are made from such sums, 0.1
//! to 0.5 s older.

use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::time::Duration;

use onyxfall_fleet::{
    QuotaDecision, QuotaLimit, QuotaMode, QuotaPeers, QuotaReceipt, QuotaRequest, QuotaSettings,
    QuotaSpend, QuotaTable, QuotaUnit, TeamFlow,
};
use onyxfall_policy::Moment;
use onyxfall_types::RegionName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TEAM: u32 = 7;
const LEAD: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(10);
const PEER_LAG: usize = 15;
const REMOTE_LAG: usize = 10;
const REMOTE_INTERVAL: usize = 40;
const WINDOW_STEPS: usize = 800;
/// The excess lasts from `EXCESS_FROM` to the end; use is measured from `STEADY_FROM`.
const EXCESS_FROM: usize = 400;
const STEADY_FROM: usize = 800;
const RUN_STEPS: usize = 2400;
/// Normal demand as a fraction of the quota.
const USUAL: f64 = 0.55;
const COSTS: [u64; 3] = [12_000, 2400, 200];
const RANKS: [u8; 3] = [0, 2, 2];
/// Fractions of requests by kind, where the dear kind alone exceeds the quota and where it does
/// not.
const MANY_DEAR: [f64; 3] = [0.3, 0.5, 0.2];
const FEW_DEAR: [f64; 3] = [0.08, 0.77, 0.15];

/// Requests that servers refuse after they were admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LateRefusals {
    /// Fraction of the admitted requests.
    fraction: f64,
    /// Steps after admission.
    after: (usize, usize),
    /// Step from which servers refuse nothing.
    until: usize,
}

const NO_REFUSALS: LateRefusals = LateRefusals {
    fraction: 0.0,
    after: (1, 2),
    until: 0,
};

struct ImportanceCase {
    name: &'static str,
    /// Failure that the case guards against.
    guards: &'static str,
    rate: f64,
    vms: usize,
    /// Demand as a multiple of the quota.
    times: f64,
    mix: [f64; 3],
    refusals: LateRefusals,
    /// Every how many VMs one runs a build that does not report usage; 0 for none.
    old_build: usize,
    /// Least fraction of the dear kind that must be admitted, relative to even spending.
    least_dear: f64,
}

const CASE: ImportanceCase = ImportanceCase {
    name: "",
    guards: "",
    rate: 1.64e6,
    vms: 36,
    times: 3.0,
    mix: MANY_DEAR,
    refusals: NO_REFUSALS,
    old_build: 0,
    least_dear: 1.0,
};

fn cases() -> Vec<ImportanceCase> {
    vec![
        ImportanceCase {
            name: "at the limit",
            guards: "refusals where the demand equals the quota",
            times: 1.0,
            least_dear: 0.95,
            ..CASE
        },
        ImportanceCase {
            name: "x 2",
            guards: "dear requests refused as often as cheap ones",
            times: 2.0,
            least_dear: 1.15,
            ..CASE
        },
        ImportanceCase {
            name: "x 3",
            guards: "dear requests refused as often as cheap ones",
            least_dear: 1.15,
            ..CASE
        },
        ImportanceCase {
            name: "x 5",
            guards: "cheap requests starved by dear ones that exceed the quota alone",
            times: 5.0,
            least_dear: 1.1,
            ..CASE
        },
        ImportanceCase {
            name: "x 3, few dear",
            guards: "dear requests refused although they are within the quota",
            mix: FEW_DEAR,
            least_dear: 2.4,
            ..CASE
        },
        ImportanceCase {
            name: "x 5, few dear, 87 VMs",
            guards: "credit split over so many VMs that no dear request can be paid",
            vms: 87,
            times: 5.0,
            mix: FEW_DEAR,
            least_dear: 1.5,
            ..CASE
        },
        ImportanceCase {
            name: "x 3, small team, 66 VMs",
            guards: "a quota exceeded by the overdrafts of many VMs with few requests",
            rate: 36_000.0,
            vms: 66,
            least_dear: 0.8,
            ..CASE
        },
        ImportanceCase {
            name: "x 3, servers refuse 0.4",
            guards: "requests counted that were refunded: the quota is not used up",
            refusals: LateRefusals {
                fraction: 0.4,
                after: (20, 100),
                until: RUN_STEPS,
            },
            least_dear: 1.0,
            ..CASE
        },
        ImportanceCase {
            name: "x 5, refused 0.8 until 10 s",
            guards: "refunds that arrive after servers have recovered admit beyond the quota",
            times: 5.0,
            refusals: LateRefusals {
                fraction: 0.8,
                after: (20, 200),
                until: 1000,
            },
            least_dear: 1.0,
            ..CASE
        },
        ImportanceCase {
            name: "x 3, a third on old builds",
            guards: "usage of VMs that report none is not counted",
            old_build: 3,
            least_dear: 1.0,
            ..CASE
        },
    ]
}

/// What VMs measured at one time: flows by VM, and reports by region.
struct FleetFlows {
    flows: Vec<HashMap<u32, f64>>,
    reports: Vec<TeamFlow>,
}

struct Fleet<'a> {
    case: &'a ImportanceCase,
    tables: Vec<QuotaTable>,
    regions: Vec<RegionName>,
    rng: StdRng,
    history: VecDeque<FleetFlows>,
}

#[derive(Default)]
struct RunResults {
    /// Fraction admitted by kind in the lasting excess.
    admitted: [f64; 3],
    /// Largest usage of a window relative to what is allowed.
    worst_window: f64,
    /// Units used in the lasting excess relative to the quota.
    used: f64,
}

impl<'a> Fleet<'a> {
    fn new(case: &'a ImportanceCase, seed: u64) -> Self {
        let regions = ["ra", "rb", "rc"].map(|name| name.parse().unwrap());
        let tables = (0..case.vms).map(|vm| table(case, vm));
        Self {
            case,
            tables: tables.collect(),
            regions: regions.to_vec(),
            rng: StdRng::seed_from_u64(seed),
            history: VecDeque::new(),
        }
    }

    fn exchange(&mut self, step: usize) {
        let now = at(step);
        let regions = self.regions.len();
        if step.is_multiple_of(10) {
            self.tables.iter_mut().for_each(|table| table.tick(now));
        }
        let flows = self
            .tables
            .iter()
            .map(|table| table.own_flows(now).collect());
        let reports = self.tables[..regions].iter();
        self.history.push_back(FleetFlows {
            flows: flows.collect(),
            reports: reports
                .map(|table| table.region_flows(now).next().unwrap())
                .collect(),
        });
        if self.history.len() <= PEER_LAG {
            return;
        }
        if self.history.len() > PEER_LAG + 1 {
            self.history.pop_front();
        }
        let flows = &self.history[0].flows;
        let mut sums: Vec<HashMap<u32, f64>> = vec![HashMap::new(); regions];
        for (vm, flows) in flows.iter().enumerate() {
            for (tag, flow) in flows {
                *sums[vm % regions].entry(*tag).or_default() += flow;
            }
        }
        for (vm, table) in self.tables.iter_mut().enumerate() {
            for (tag, sum) in &sums[vm % regions] {
                let own = flows[vm].get(tag).copied().unwrap_or(0.0);
                table.set_peer_flow(now, *tag, sum - own);
            }
        }
        if !step.is_multiple_of(REMOTE_INTERVAL) {
            return;
        }
        let reports = &self.history[self.history.len() - 1 - REMOTE_LAG].reports;
        for (vm, table) in self.tables.iter_mut().enumerate() {
            for (region, report) in reports.iter().enumerate() {
                if vm % regions != region {
                    let sent = at(step - REMOTE_LAG);
                    table.receive(sent, &self.regions[region], &[*report]);
                }
            }
        }
    }

    fn run(&mut self) -> RunResults {
        let case = self.case;
        let costs = COSTS.map(|cost| cost as f64);
        let mean: f64 = costs
            .iter()
            .zip(case.mix)
            .map(|(cost, part)| cost * part)
            .sum();
        let mut used = vec![0.0; RUN_STEPS];
        let (mut offered, mut admitted) = ([0.0; 3], [0.0; 3]);
        let mut refunds: Vec<Vec<(usize, u64, QuotaReceipt)>> = vec![Vec::new(); RUN_STEPS];
        for step in 0..RUN_STEPS {
            self.exchange(step);
            for (vm, cost, receipt) in std::mem::take(&mut refunds[step]) {
                self.tables[vm].give_back(at(step), TEAM, cost, receipt);
            }
            let times = if step < EXCESS_FROM {
                USUAL
            } else {
                case.times
            };
            let expected = case.rate * times / mean * STEP.as_secs_f64();
            for _ in 0..draw_count(&mut self.rng, expected) {
                let vm = self.rng.random_range(0..case.vms);
                let kind = self.draw_kind();
                let request = QuotaRequest {
                    cost: COSTS[kind],
                    rank: RANKS[kind],
                    time_left: Duration::from_secs(2),
                };
                let decision = self.tables[vm].admit(at(step), TEAM, &request, &mut self.rng);
                let is_steady = step >= STEADY_FROM;
                offered[kind] += f64::from(u8::from(is_steady));
                let QuotaDecision::Admitted(receipt) = decision else {
                    continue;
                };
                admitted[kind] += f64::from(u8::from(is_steady));
                let refusals = case.refusals;
                if step < refusals.until && self.rng.random_bool(refusals.fraction) {
                    let refund = step + self.rng.random_range(refusals.after.0..refusals.after.1);
                    if let Some(due) = refunds.get_mut(refund) {
                        due.push((vm, request.cost, receipt));
                    }
                } else {
                    used[step] += costs[kind];
                }
            }
        }
        let allowed = (8.0 * case.rate + case.rate) * 1.1 + 140_000.0;
        let windows = used.windows(WINDOW_STEPS);
        let steady = (RUN_STEPS - STEADY_FROM) as f64 * STEP.as_secs_f64();
        RunResults {
            admitted: std::array::from_fn(|kind| admitted[kind] / offered[kind]),
            worst_window: windows
                .map(|window| window.iter().sum::<f64>() / allowed)
                .fold(0.0, f64::max),
            used: used[STEADY_FROM..].iter().sum::<f64>() / (steady * case.rate),
        }
    }

    fn draw_kind(&mut self) -> usize {
        let point: f64 = self.rng.random();
        let [dear, cheap, _] = self.case.mix;
        usize::from(point >= dear) + usize::from(point >= dear + cheap)
    }
}

/// Draws from a Poisson distribution with mean `expected`.
fn draw_count(rng: &mut StdRng, expected: f64) -> usize {
    let (mut product, mut count) = (rng.random::<f64>(), 0);
    while product > (-expected).exp() {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn at(step: usize) -> Moment {
    Moment::from_duration(LEAD + STEP * u32::try_from(step).unwrap())
}

fn table(case: &ImportanceCase, vm: usize) -> QuotaTable {
    let is_old = case.old_build > 0 && vm.is_multiple_of(case.old_build);
    let mut table = QuotaTable::default();
    table.set_settings(QuotaSettings {
        way: QuotaMode::Pooled,
        spend: if is_old {
            QuotaSpend::Even
        } else {
            QuotaSpend::ByImportance
        },
        window: Duration::from_secs(8),
        over: 0.1,
        slack: 140_000.0,
    });
    table.set_peers(QuotaPeers {
        reachable_share: 1.0,
        vms: case.vms,
        regions: 3,
    });
    let limit = QuotaLimit {
        rate: case.rate,
        burst: case.rate,
        unit: QuotaUnit::Tokens { plain: 200 },
    };
    table.set_teams(Moment::ZERO, [(TEAM, limit)]);
    table
}

/// Guards against the failures that the cases name, under a lasting excess of a team with
/// several kinds of requests.
#[test]
fn in_a_lasting_excess_important_and_tiny_requests_are_admitted_first() {
    let mut report = String::from("case: admitted of dear, cheap, tiny; window; used\n");
    let mut failures = String::new();
    for case in cases() {
        for seed in [1, 2, 3] {
            let run = Fleet::new(&case, seed).run();
            let _ = writeln!(
                report,
                "{:<28} {:.2?} {:.2} {:.2}",
                case.name, run.admitted, run.worst_window, run.used
            );
            let even = 1.0 / case.times;
            let [dear, cheap, tiny] = run.admitted;
            let is_tiny_small = case.mix == MANY_DEAR && case.rate > 1e6;
            let checks = [
                (run.worst_window <= 1.0, "the window is exceeded"),
                (run.used > 0.85, "the quota is not used up"),
                (dear >= case.least_dear * even, "too few dear requests"),
                (cheap >= 0.1 * even, "cheap requests starve"),
                (tiny >= 0.1 * even, "tiny requests starve"),
                (
                    !is_tiny_small || case.old_build > 0 || tiny >= 0.97,
                    "tiny requests are refused",
                ),
            ];
            for (_, failure) in checks.iter().filter(|(holds, _)| !holds) {
                let _ = writeln!(
                    failures,
                    "{}, seed {seed}: {failure}; guards against: {}",
                    case.name, case.guards
                );
            }
        }
    }
    println!("{report}");
    assert!(failures.is_empty(), "{failures}{report}");
}

/// Guards against refused callers that all retry within 0.2 to 0.4 s into the same excess, and
/// against retry times beyond the third of their time that callers honour.
#[test]
fn in_an_excess_retries_are_spread_up_to_a_third_of_the_time_left() {
    let case = &ImportanceCase { vms: 1, ..CASE };
    for time_left in [0.06, 0.9, 2.0, 6.0] {
        let mut table = table(case, 0);
        let mut rng = StdRng::seed_from_u64(1);
        let request = QuotaRequest {
            cost: COSTS[0],
            rank: RANKS[0],
            time_left: Duration::from_secs_f64(time_left),
        };
        let mut delays = Vec::new();
        for step in 0..1000 {
            // 4 requests a step are 2.9 times the limit.
            for _ in 0..4 {
                let decision = table.admit(at(step), TEAM, &request, &mut rng);
                if let QuotaDecision::Refused { retry_after, .. } = decision {
                    delays.push(retry_after.as_secs_f64());
                }
            }
        }
        let latest = time_left / 3.0;
        let longest = delays.iter().copied().fold(0.0, f64::max);
        assert!(longest <= latest + 1e-6, "{longest} of {time_left} s");
        let late = delays.iter().filter(|delay| **delay > latest * 0.5).count();
        assert!(late * 10 > delays.len(), "{late} of {}", delays.len());
    }
}

/// Guards against usage that is published where the setting is off, and against a VM of another
/// build whose report without usage counts as no usage.
#[test]
fn usage_is_published_by_importance_only_and_its_absence_falls_back_to_demand() {
    let case = &ImportanceCase {
        vms: 2,
        old_build: 2,
        ..CASE
    };
    let (old, new) = (table(case, 0), table(case, 1));
    assert_eq!(old.own_flows(at(0)).count(), 1);
    assert_eq!(old.region_flows(at(0)).next().unwrap().used, None);
    assert_eq!(new.own_flows(at(0)).count(), 3);
    let region: RegionName = "rb".parse().unwrap();
    for (used, is_refused) in [
        (None, true),
        (Some(case.rate * 4.0), true),
        (Some(0.0), false),
    ] {
        let mut table = new.clone();
        let report = TeamFlow {
            team: TEAM,
            demand: case.rate * 4.0,
            used,
        };
        let mut rng = StdRng::seed_from_u64(1);
        let mut refused = 0;
        // The bucket has drained before the reports.
        table.tick(at(0));
        for step in 0..100 {
            table.receive(at(step), &region, &[report]);
            table.tick(at(step));
            let request = QuotaRequest {
                cost: COSTS[1],
                rank: RANKS[1],
                time_left: Duration::from_secs(2),
            };
            let decision = table.admit(at(step), TEAM, &request, &mut rng);
            refused += u32::from(matches!(decision, QuotaDecision::Refused { .. }));
        }
        assert_eq!(refused > 20, is_refused, "{used:?}: {refused} refused");
    }
}
