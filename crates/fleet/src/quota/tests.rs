//! Spending by importance where a VM has only a part of the quota.

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;
use crate::team::QuotaUnit;

const TEAM: u32 = 7;
const VMS: usize = 20;
/// Units a second that all VMs may use.
const RATE: f64 = 100_000.0;
const COST: u64 = 2400;
/// Time between two requests: demand of three times the VM's part of the quota.
const INTERVAL: Duration = Duration::from_millis(160);

struct PartCase {
    name: &'static str,
    way: QuotaMode,
    reachable_share: f64,
}

const PART_CASES: &[PartCase] = &[
    PartCase {
        name: "one bucket of all VMs",
        way: QuotaMode::Pooled,
        reachable_share: 1.0,
    },
    PartCase {
        name: "a VM that receives nothing",
        way: QuotaMode::Pooled,
        reachable_share: 1.0 / VMS as f64,
    },
    PartCase {
        name: "equal parts",
        way: QuotaMode::EqualParts,
        reachable_share: 1.0,
    },
];

/// Guards against a small part of a quota that is spent at random: unimportant requests were
/// admitted as often as important ones where the VM had a bucket of its own.
#[test]
fn important_requests_come_first_in_every_part_of_a_quota() {
    for case in PART_CASES {
        let mut rng = StdRng::seed_from_u64(1);
        let mut table = QuotaTable::default();
        table.set_settings(QuotaSettings {
            way: case.way,
            spend: QuotaSpend::ByImportance,
            over: 0.1,
            slack: 140_000.0,
            ..QuotaSettings::default()
        });
        table.set_peers(QuotaPeers {
            reachable_share: case.reachable_share,
            vms: VMS,
            regions: 1,
        });
        let limit = QuotaLimit {
            rate: RATE,
            burst: RATE,
            unit: QuotaUnit::Tokens { plain: 200 },
        };
        table.set_teams(Moment::ZERO, [(TEAM, limit)]);
        let others = COST as f64 / INTERVAL.as_secs_f64() * (VMS - 1) as f64;
        let mut admitted = [0.0, 0.0];
        let (first, last) = (200, 1200);
        for number in 0..last {
            let now = Moment::from_duration(INTERVAL * number);
            if case.way == QuotaMode::Pooled && case.reachable_share >= 1.0 {
                table.set_peer_demand(now, TEAM, others);
            }
            let request = QuotaRequest {
                cost: COST,
                rank: if number % 2 == 0 { 0 } else { 2 },
                time_left: Duration::from_secs(2),
            };
            let decision = table.admit(now, TEAM, &request, &mut rng);
            if number >= first && matches!(decision, QuotaDecision::Admitted(_)) {
                admitted[number as usize % 2] += 2.0 / f64::from(last - first);
            }
        }
        let [important, cheap] = admitted;
        assert!(
            important > 2.0 * cheap,
            "{}: {important:.2} and {cheap:.2} admitted",
            case.name
        );
        let used = f64::midpoint(important, cheap) * 3.0;
        assert!(
            (0.7..1.1).contains(&used),
            "{}: {used:.2} of the quota used",
            case.name
        );
    }
}
