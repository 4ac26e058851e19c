//! Verdicts on requests that were running on lost servers.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_suspects::{
    CallKeys, FingerprintParts, InstanceTag, PartKeys, PartScope, QUARANTINE, RequestFingerprint,
    SuspectCursor, SuspectTable, SuspectVerdict,
};
use proptest::prelude::*;

fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

fn request(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintParts {
        method: "POST",
        host: b"a.example",
        target: "/x",
        team: None,
        body: body.as_bytes(),
    })
}

/// Keys of a request without shared parts.
fn keys(body: &str) -> CallKeys {
    keys_with(body, &[])
}

/// Keys of a request whose prompt has these parts.
fn keys_with(body: &str, parts: &[u64]) -> CallKeys {
    let scope = PartScope::of(&"models".parse().unwrap(), None);
    CallKeys {
        request: request(body).into(),
        parts: PartKeys::of(scope, parts.iter().copied()),
    }
}

/// Keys of a request that shares a part with each other one whose body differs by one letter.
fn sharing_keys(body: &str) -> CallKeys {
    let first = u64::from(body.as_bytes()[0]);
    keys_with(body, &[1, first, first + 1])
}

fn lose(table: &mut SuspectTable, now: Moment, body: &str, server: &str) {
    table.record_loss(now, &keys(body), InstanceTag::of(server), Duration::ZERO);
}

/// An event that a VM records, with its time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server was lost while running a request.
    Lost(u64, &'static str, &'static str),
    /// A request succeeded, after the events before.
    Served(&'static str),
    /// A liveness signal of a server was received.
    Alive(u64, &'static str),
}

fn apply_events(table: &mut SuspectTable, events: &[Event]) {
    for event in events {
        match *event {
            Event::Lost(when, body, name) => {
                lose(table, at(when), body, name);
            }
            Event::Served(body) => table.record_success(request(body)),
            Event::Alive(when, name) => table.record_liveness(InstanceTag::of(name), at(when)),
        }
    }
}

struct VerdictCase {
    name: &'static str,
    events: &'static [Event],
    when: u64,
    verdict: &'static str,
}

use Event::{Alive, Lost, Served};

const CASES: &[VerdictCase] = &[
    VerdictCase {
        name: "one crash, as hundreds of requests have after each crash",
        events: &[Lost(0, "a", "s1")],
        when: 10,
        verdict: "clear",
    },
    VerdictCase {
        name: "two crashes a moment ago, more may follow",
        events: &[Lost(0, "a", "s1"), Lost(100, "a", "s2")],
        when: 200,
        verdict: "pending",
    },
    VerdictCase {
        name: "two crashes, no other server crashed near them",
        events: &[Lost(0, "a", "s1"), Lost(100, "a", "s2")],
        when: 2200,
        verdict: "suspected",
    },
    VerdictCase {
        name: "two crashes, others crashed near them",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(900, "b", "s3"),
        ],
        when: 2200,
        verdict: "clear",
    },
    VerdictCase {
        name: "three crashes within half a second",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
        ],
        when: 500,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "three crashes, minutes apart",
        events: &[
            Lost(0, "a", "s1"),
            Lost(60_000, "a", "s2"),
            Lost(120_000, "a", "s3"),
        ],
        when: 121_000,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "three losses of the same server are one crash",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s1"),
            Lost(400, "a", "s1"),
        ],
        when: 500,
        verdict: "clear",
    },
    VerdictCase {
        name: "three crashes in a rack where servers without the request crashed too",
        events: &[
            Lost(0, "a", "s1"),
            Lost(20, "b", "s4"),
            Lost(100, "a", "s2"),
            Lost(200, "b", "s5"),
            Lost(400, "a", "s3"),
        ],
        when: 500,
        verdict: "clear",
    },
    VerdictCase {
        name: "five crashes, whatever other servers crashed",
        events: &[
            Lost(0, "a", "s1"),
            Lost(20, "b", "s6"),
            Lost(100, "a", "s2"),
            Lost(200, "a", "s3"),
            Lost(300, "a", "s4"),
            Lost(400, "a", "s5"),
        ],
        when: 500,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "connections were lost, but the servers survived",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
            Alive(700, "s1"),
            Alive(700, "s2"),
            Alive(700, "s3"),
        ],
        when: 800,
        verdict: "clear",
    },
    VerdictCase {
        name: "bytes received before the crash are no liveness signal",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
            Alive(410, "s3"),
        ],
        when: 500,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "the request succeeded since",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
            Served("a"),
        ],
        when: 700,
        verdict: "clear",
    },
    VerdictCase {
        name: "a server that survived crashes later",
        events: &[
            Lost(0, "a", "s1"),
            Alive(1000, "s1"),
            Lost(5000, "a", "s1"),
            Lost(5100, "a", "s2"),
            Lost(5200, "a", "s3"),
        ],
        when: 5300,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "after the quarantine the request may be tried once, alone",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
        ],
        when: 400 + 600_000,
        verdict: "suspected",
    },
    VerdictCase {
        name: "the request is refused again after the next crash",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
            Lost(700_000, "a", "s4"),
        ],
        when: 700_100,
        verdict: "quarantined",
    },
];

#[test]
fn requests_are_judged_by_the_servers_lost_while_running_them() {
    for case in CASES {
        let mut table = SuspectTable::default();
        apply_events(&mut table, case.events);
        let verdict = table.judge(at(case.when), &keys("a")).verdict;
        assert_eq!(verdict.as_str(), case.verdict, "{}", case.name);
    }
}

#[test]
fn the_verdict_carries_the_remaining_quarantine() {
    let mut table = SuspectTable::default();
    for (when, server) in [(0, "s1"), (100, "s2"), (400, "s3")] {
        lose(&mut table, at(when), "a", server);
    }
    let left = QUARANTINE.saturating_sub(Duration::from_mins(1));
    let verdict = table.judge(at(60_400), &keys("a")).verdict;
    assert_eq!(verdict, SuspectVerdict::Quarantined { left });
}

#[test]
fn tables_are_bounded_and_keep_requests_with_most_crashes() {
    let mut table = SuspectTable::default();
    for server in ["s1", "s2", "s3"] {
        lose(&mut table, at(0), "guilty", server);
    }
    for number in 0..6000 {
        lose(
            &mut table,
            at(10_000 + number),
            &format!("flood{number}"),
            "s4",
        );
    }
    assert!(table.len() <= 4096, "{} requests are kept", table.len());
    let verdict = table.judge(at(20_000), &keys("guilty")).verdict;
    assert_eq!(verdict.as_str(), "quarantined");
    table.expire(at(10_000 + 6000 + 3_600_000));
    assert!(table.is_empty(), "all records expire");
}

/// Sends updates of `from` to `to` until none are left.
fn send_all(now: Moment, from: &SuspectTable, to: &mut SuspectTable) {
    let mut cursor = SuspectCursor::default();
    loop {
        let update = from.next_update(now, &mut cursor);
        if update.is_empty() {
            return;
        }
        to.apply(now, &update);
    }
}

/// On a VM that has run for longer than records are kept, received survivals must not expire
/// at once: the crashes that they clear would count again.
#[test]
fn survivals_received_by_a_long_running_vm_are_kept() {
    let now = at(4_002_000);
    let mut first = SuspectTable::default();
    for server in ["s1", "s2", "s3"] {
        let events = [
            Event::Lost(4_000_000, "a", server),
            Event::Alive(4_001_000, server),
        ];
        apply_events(&mut first, &events);
    }
    let mut second = SuspectTable::default();
    send_all(now, &first, &mut second);
    second.expire(now);
    assert_eq!(second.judge(now, &keys("a")).verdict, SuspectVerdict::Clear);
}

/// Guards against a VM that forgets the end of an old verdict before it has told the others, or
/// that takes the evidence back from one that was cut off.
#[test]
fn the_end_of_an_old_verdict_reaches_vms_that_are_cut_off_for_minutes() {
    let mut first = SuspectTable::default();
    for server in ["s1", "s2", "s3"] {
        lose(&mut first, at(0), "a", server);
    }
    let mut second = SuspectTable::default();
    send_all(at(0), &first, &mut second);
    first.record_success(request("a"));
    for tick in 1..=600 {
        first.expire(at(700_000 + 100 * tick));
    }
    let now = at(760_000);
    let stale = second.clone();
    send_all(now, &stale, &mut first);
    send_all(now, &first, &mut second);
    for table in [&first, &second] {
        let verdict = table.judge(now, &keys("a")).verdict;
        assert_eq!(verdict, SuspectVerdict::Clear);
    }
    first.expire(at(760_000 + 3_600_000));
    assert!(first.is_empty(), "the record expires");
}

/// Guards against a lifted verdict that comes back with the next crash, or from another VM.
#[test]
fn a_lifted_key_begins_with_no_evidence_on_all_vms() {
    let mut first = SuspectTable::default();
    for server in ["s1", "s2", "s3"] {
        lose(&mut first, at(0), "a", server);
    }
    let mut second = SuspectTable::default();
    send_all(at(0), &first, &mut second);
    assert!(!second.lift(request("b").into()), "no evidence");
    assert!(second.lift(request("a").into()));
    assert!(!second.lift(request("a").into()), "lifted before");
    let stale = first.clone();
    send_all(at(100), &stale, &mut second);
    send_all(at(100), &second, &mut first);
    for (when, server, verdict) in [
        (5000, "s4", "clear"),
        (15_000, "s5", "suspected"),
        (25_000, "s6", "quarantined"),
    ] {
        lose(&mut first, at(when), "a", server);
        send_all(at(when), &first, &mut second);
        for table in [&first, &second] {
            let found = table.judge(at(when + 3000), &keys("a")).verdict;
            assert_eq!(found.as_str(), verdict, "after the crash of {server}");
        }
    }
}

/// A connection was lost and the server survived. The time of the loss is sent as an age and
/// becomes later with each hop, so that an update must not count as a second loss. On a day
/// with broken connections such updates circulated between 68 VMs, which cost a tenth of the
/// day's value in inter-region traffic.
#[test]
fn a_loss_that_is_received_late_is_not_a_second_loss() {
    for delay in [60, 150, 400, 900] {
        let mut tables = [(); 3].map(|()| SuspectTable::default());
        let mut cursors = [[SuspectCursor::default(); 3]; 3];
        let events = [Event::Lost(0, "a", "s1"), Event::Alive(250, "s1")];
        apply_events(&mut tables[0], &events);
        let mut now = 250;
        let mut last_round = 0;
        for round in 1..=20 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let update = tables[from].next_update(at(now), &mut cursors[from][to]);
                if !update.is_empty() {
                    last_round = round;
                }
                now += delay;
                tables[to].apply(at(now), &update);
            }
        }
        assert!(
            last_round <= 3,
            "updates for {last_round} rounds with delays of {delay} ms"
        );
        for table in &tables {
            assert!(
                table.lost_instances().next().is_none(),
                "the server survived"
            );
        }
    }
}

const BODIES: [&str; 3] = ["a", "b", "c"];
const SERVERS: [&str; 5] = ["s1", "s2", "s3", "s4", "s5"];

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (0..3u8, 0..3usize, 0..5usize).prop_map(|(kind, body, server)| match kind {
        0 | 1 => Event::Lost(0, BODIES[body], SERVERS[server]),
        _ => Event::Alive(0, SERVERS[server]),
    });
    proptest::collection::vec(event, 0..30).prop_map(|events| {
        // Each event is 1.5 s after the one before, so that liveness signals count as survivals.
        let stamp = |(index, event)| {
            let when = 1500 * index as u64;
            match event {
                Event::Lost(_, body, server) => Event::Lost(when, body, server),
                Event::Alive(_, server) => Event::Alive(when, server),
                Event::Served(body) => Event::Served(body),
            }
        };
        events.into_iter().enumerate().map(stamp).collect()
    })
}

proptest! {
    /// VMs that each recorded a part of the events reach the same verdicts after exchanging
    /// updates, whatever the order, repeats and routes of the updates.
    #[test]
    fn vms_that_exchange_updates_reach_the_same_verdicts(
        all in events(),
        splits in proptest::collection::vec(0..3usize, 30),
        order in proptest::collection::vec((0..3usize, 0..3usize), 0..12),
    ) {
        let now = at(100_000);
        let mut tables = [(); 3].map(|()| SuspectTable::default());
        for (event, vm) in all.iter().zip(&splits) {
            match event {
                Event::Lost(when, body, server) => {
                    let (keys, instance) = (sharing_keys(body), InstanceTag::of(server));
                    tables[*vm].record_loss(at(*when), &keys, instance, Duration::ZERO);
                }
                _ => apply_events(&mut tables[*vm], std::slice::from_ref(event)),
            }
        }
        let links = [(0, 1), (1, 2), (2, 1), (1, 0), (0, 2), (2, 0)];
        for (from, to) in order.into_iter().chain(links).chain(links) {
            let sender = tables[from].clone();
            send_all(now, &sender, &mut tables[to]);
        }
        for body in BODIES {
            // A verdict on the parts can hide a different one on the request itself.
            for keys in [sharing_keys(body), keys(body)] {
                let verdicts = tables.each_ref().map(|table| table.judge(now, &keys));
                prop_assert_eq!(verdicts[0], verdicts[1], "{}", body);
                prop_assert_eq!(verdicts[1], verdicts[2], "{}", body);
            }
        }
    }

    /// Updates that two VMs exchange change nothing after a few rounds.
    #[test]
    fn updates_do_not_circulate_forever(all in events()) {
        let mut first = SuspectTable::default();
        let mut second = SuspectTable::default();
        apply_events(&mut first, &all);
        let (mut cursor_second, mut cursor_first) = (SuspectCursor::default(), SuspectCursor::default());
        let mut rounds = 0;
        loop {
            // Each hop takes 60 ms, so that the receiver's time of every crash is 60 ms late.
            let sent = at(100_000 + rounds * 120);
            let update = first.next_update(sent, &mut cursor_second);
            second.apply(sent + Duration::from_millis(60), &update);
            let reply = second.next_update(sent + Duration::from_millis(60), &mut cursor_first);
            first.apply(sent + Duration::from_millis(120), &reply);
            if update.is_empty() && reply.is_empty() {
                break;
            }
            rounds += 1;
            prop_assert!(rounds < 6, "still updates after {} rounds", rounds);
        }
    }
}
