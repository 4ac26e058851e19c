//! Sums of work over random histories of VMs that send, change, become unresponsive and return.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{PrefillTokens, WorkShare};
use onyxfall_overlay::{
    ReceivedWork, ServerTag, WorkCursor, WorkEntry, WorkOrigin, WorkTotals, WorkUpdate, WorkView,
};
use onyxfall_policy::Moment;
use onyxfall_types::VmName;
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn vm(number: usize) -> VmName {
    format!("vm{number}").parse().unwrap()
}

fn share(requests: u32) -> WorkShare {
    WorkShare {
        requests,
        prefill: PrefillTokens::of(3, u64::from(requests) * 100),
        memory: u64::from(requests) * 1000,
        flow: 0,
        ..WorkShare::default()
    }
}

fn entry(server: u32, requests: u32) -> WorkEntry {
    WorkEntry {
        server: ServerTag(server),
        share: share(requests),
    }
}

fn update(is_whole: bool, entries: &[(u32, u32)]) -> WorkUpdate {
    WorkUpdate {
        is_whole,
        entries: entries.iter().map(|(s, r)| entry(*s, *r)).collect(),
    }
}

/// Receiver that follows the updates of one sum.
#[derive(Default)]
struct Reader {
    cursor: WorkCursor,
    known: BTreeMap<ServerTag, WorkShare>,
}

impl Reader {
    fn read(&mut self, totals: &WorkTotals, view: WorkView<'_>) {
        let update = totals.next_update(view, &mut self.cursor);
        if update.is_whole {
            self.known.clear();
        }
        for entry in update.entries {
            self.known.insert(entry.server, entry.share);
        }
        self.known.retain(|_, share| *share != WorkShare::default());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Own(Vec<(u32, u32)>),
    Send(usize, Vec<(u32, u32)>),
    Leave(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let work = || prop::collection::vec((0..6_u32, 0..4_u32), 0..5);
    prop_oneof![
        work().prop_map(Step::Own),
        (0..4_usize, work()).prop_map(|(vm, work)| Step::Send(vm, work)),
        (0..4_usize).prop_map(Step::Leave),
        (1..900_u64).prop_map(Step::Wait),
    ]
}

/// Work of a VM by server; the last entry of a server wins.
fn as_map(work: &[(u32, u32)]) -> BTreeMap<u32, u32> {
    work.iter().copied().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(256)
    })]

    /// Members send differences and readers receive differences. A reader's state must equal
    /// the sum of the work sent by the responsive members, plus the VM's own.
    #[test]
    fn readers_receive_the_sum_of_the_members_work(steps in prop::collection::vec(step(), 1..60)) {
        let mut totals = WorkTotals::default();
        let mut own = BTreeMap::new();
        let mut told: BTreeMap<usize, (u64, BTreeMap<u32, u32>)> = BTreeMap::new();
        let mut partial = Reader::default();
        let mut but_first = Reader::default();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Own(work) => {
                    own = as_map(&work);
                    totals.set_own(own.iter().map(|(s, r)| entry(*s, *r)));
                }
                Step::Send(number, work) => {
                    let is_whole = !told.contains_key(&number);
                    let held = told.entry(number).or_default();
                    held.0 = now;
                    held.1.extend(as_map(&work));
                    let changes: Vec<(u32, u32)> = as_map(&work).into_iter().collect();
                    let told = update(is_whole, &changes);
                    totals.apply(at(now), &vm(number), WorkOrigin::Member, &told);
                }
                Step::Leave(number) => {
                    told.remove(&number);
                    totals.remove(&vm(number), WorkOrigin::Member);
                }
                Step::Wait(ms) => now += ms,
            }
            totals.expire(at(now));
            let is_responsive = |heard: u64| now - heard < 1300;
            let sum = |but: Option<usize>, server: u32| -> u32 {
                let members = told
                    .iter()
                    .filter(|(number, (heard, _))| is_responsive(*heard) && Some(**number) != but)
                    .map(|(_, (_, work))| work.get(&server).copied().unwrap_or(0));
                members.sum::<u32>() + own.get(&server).copied().unwrap_or(0)
            };
            partial.read(&totals, WorkView::Partial);
            let first = vm(0);
            but_first.read(&totals, WorkView::AllBut(&first));
            for server in 0..6 {
                let known = |reader: &Reader| {
                    reader.known.get(&ServerTag(server)).copied().unwrap_or_default()
                };
                prop_assert_eq!(known(&partial), share(sum(None, server)));
                prop_assert_eq!(known(&but_first), share(sum(Some(0), server)));
            }
        }
    }
}

struct ImplausibleCase {
    name: &'static str,
    share: WorkShare,
}

#[test]
fn implausible_work_is_rejected_and_counted() {
    let cases = [
        ImplausibleCase {
            name: "requests",
            share: WorkShare {
                requests: u32::MAX,
                ..WorkShare::default()
            },
        },
        ImplausibleCase {
            name: "tokens pending prefill",
            share: WorkShare {
                prefill: PrefillTokens::of(0, u64::MAX),
                ..WorkShare::default()
            },
        },
        ImplausibleCase {
            name: "memory",
            share: WorkShare {
                memory: u64::MAX,
                ..WorkShare::default()
            },
        },
        ImplausibleCase {
            name: "flow",
            share: WorkShare {
                flow: u64::MAX,
                ..WorkShare::default()
            },
        },
    ];
    for case in cases {
        let mut totals = WorkTotals::default();
        totals.apply(at(0), &vm(1), WorkOrigin::Partial, &update(true, &[(0, 2)]));
        let implausible = WorkUpdate {
            is_whole: false,
            entries: vec![WorkEntry {
                server: ServerTag(0),
                share: case.share,
            }],
        };
        let received = totals.apply(at(0), &vm(1), WorkOrigin::Partial, &implausible);
        assert_eq!(received.implausible, 1, "{}", case.name);
        assert_eq!(totals.others(ServerTag(0)), share(2), "{}", case.name);
    }
}

#[test]
fn a_difference_without_a_complete_update_is_cut() {
    let mut totals = WorkTotals::default();
    let received = totals.apply(at(0), &vm(1), WorkOrigin::Member, &update(false, &[(0, 2)]));
    let expected = ReceivedWork {
        implausible: 0,
        is_cut: true,
    };
    assert_eq!(received, expected);
    assert_eq!(totals.others(ServerTag(0)), WorkShare::default());
}

#[test]
fn a_paused_vm_continues_from_its_last_update() {
    let mut totals = WorkTotals::default();
    totals.apply(
        at(0),
        &vm(1),
        WorkOrigin::Member,
        &update(true, &[(0, 2), (1, 3)]),
    );
    totals.expire(at(3000));
    assert_eq!(totals.others(ServerTag(1)), share(0));
    totals.apply(
        at(3100),
        &vm(1),
        WorkOrigin::Member,
        &update(false, &[(0, 1)]),
    );
    assert_eq!(totals.others(ServerTag(0)), share(1));
    assert_eq!(totals.others(ServerTag(1)), share(3));
}

#[test]
fn a_new_aggregators_digest_counts_once_it_is_warm() {
    let mut totals = WorkTotals::default();
    totals.apply_digest(at(0), &vm(1), true, &update(true, &[(0, 9)]));
    totals.apply_digest(at(100), &vm(2), false, &update(true, &[(0, 1)]));
    assert_eq!(totals.others(ServerTag(0)), share(9), "the former one's");
    totals.apply_digest(at(400), &vm(2), true, &update(false, &[(0, 8)]));
    assert_eq!(
        totals.others(ServerTag(0)),
        share(8),
        "the new one's, alone"
    );
}
