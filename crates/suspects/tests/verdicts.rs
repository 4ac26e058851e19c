//! Verdicts on requests, from what was on servers that broke off.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_suspects::{
    FingerprintParts, InstanceTag, QUARANTINE, RequestFingerprint, SuspectCursor, SuspectTable,
    SuspectVerdict,
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

/// Something that a VM notes, at a time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server broke off under a request.
    Lost(u64, &'static str, &'static str),
    /// A request ran to a good end, after what came before.
    Served(&'static str),
    /// A server gave a sign of life.
    Alive(u64, &'static str),
}

fn play(table: &mut SuspectTable, events: &[Event]) {
    for event in events {
        match *event {
            Event::Lost(when, body, life) => {
                table.record_crash(at(when), request(body), InstanceTag::of(life));
            }
            Event::Served(body) => table.record_success(request(body)),
            Event::Alive(when, life) => table.record_liveness(InstanceTag::of(life), at(when)),
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
        name: "one server: hundreds of requests are on one that crashes",
        events: &[Lost(0, "a", "s1")],
        when: 10,
        verdict: "clear",
    },
    VerdictCase {
        name: "two a moment ago: others may follow",
        events: &[Lost(0, "a", "s1"), Lost(100, "a", "s2")],
        when: 200,
        verdict: "pending",
    },
    VerdictCase {
        name: "two, and nothing else crashed around them",
        events: &[Lost(0, "a", "s1"), Lost(100, "a", "s2")],
        when: 2200,
        verdict: "suspected",
    },
    VerdictCase {
        name: "two, and others crashed around them",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(900, "b", "s3"),
        ],
        when: 2200,
        verdict: "clear",
    },
    VerdictCase {
        name: "three, within half a second",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
        ],
        when: 500,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "three, minutes apart",
        events: &[
            Lost(0, "a", "s1"),
            Lost(60_000, "a", "s2"),
            Lost(120_000, "a", "s3"),
        ],
        when: 121_000,
        verdict: "quarantined",
    },
    VerdictCase {
        name: "the same server three times is one crash",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s1"),
            Lost(400, "a", "s1"),
        ],
        when: 500,
        verdict: "clear",
    },
    VerdictCase {
        name: "three of a rack, in which others crashed without it",
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
        name: "five, whatever crashed beside it",
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
        name: "connections broke, but the servers live",
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
        name: "bytes that had come before the crash are no sign of life",
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
        name: "it ran to a good end since",
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
        name: "a server that lived on crashes under it later",
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
        name: "after its time it may be tried once more, alone",
        events: &[
            Lost(0, "a", "s1"),
            Lost(100, "a", "s2"),
            Lost(400, "a", "s3"),
        ],
        when: 400 + 600_000,
        verdict: "suspected",
    },
    VerdictCase {
        name: "and is refused again after the next crash",
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
fn requests_are_judged_by_the_servers_that_they_were_lost_with() {
    for case in CASES {
        let mut table = SuspectTable::default();
        play(&mut table, case.events);
        let verdict = table.judge(at(case.when), request("a"));
        assert_eq!(verdict.as_str(), case.verdict, "{}", case.name);
    }
}

#[test]
fn the_time_told_is_what_is_left_of_the_quarantine() {
    let mut table = SuspectTable::default();
    for (when, life) in [(0, "s1"), (100, "s2"), (400, "s3")] {
        table.record_crash(at(when), request("a"), InstanceTag::of(life));
    }
    let left = QUARANTINE.saturating_sub(Duration::from_mins(1));
    let verdict = table.judge(at(60_400), request("a"));
    assert_eq!(verdict, SuspectVerdict::Quarantined { left });
}

#[test]
fn tables_are_bounded_and_keep_what_was_on_most_servers() {
    let mut table = SuspectTable::default();
    for life in ["s1", "s2", "s3"] {
        table.record_crash(at(0), request("guilty"), InstanceTag::of(life));
    }
    for number in 0..6000 {
        let flood = request(&format!("flood{number}"));
        table.record_crash(at(10_000 + number), flood, InstanceTag::of("s4"));
    }
    assert!(table.len() <= 4096, "{} requests are kept", table.len());
    let verdict = table.judge(at(20_000), request("guilty"));
    assert_eq!(verdict.as_str(), "quarantined");
    table.expire(at(10_000 + 6000 + 3_600_000));
    assert!(table.is_empty(), "everything is forgotten in time");
}

/// Tells `from`'s news to `to` until nothing is left to tell.
fn tell_all(now: Moment, from: &SuspectTable, to: &mut SuspectTable) {
    let mut told = SuspectCursor::default();
    loop {
        let news = from.tell(now, &mut told);
        if news.is_empty() {
            return;
        }
        to.take(now, &news);
    }
}

/// On a VM that has run for more than an hour: that servers have survived is not forgotten
/// with the next look at what is old, or what they cleared would count again.
#[test]
fn survivals_told_late_in_a_life_are_kept() {
    let now = at(4_002_000);
    let mut near = SuspectTable::default();
    for life in ["s1", "s2", "s3"] {
        let events = [
            Event::Lost(4_000_000, "a", life),
            Event::Alive(4_001_000, life),
        ];
        play(&mut near, &events);
    }
    let mut far = SuspectTable::default();
    tell_all(now, &near, &mut far);
    far.expire(now);
    assert_eq!(far.judge(now, request("a")), SuspectVerdict::Clear);
}

/// A connection broke and the server lived on: the news, which is older with each way, is
/// no second break. On a day with broken connections it went round and round between 68
/// VMs, which cost a tenth of the day's worth in bytes between regions.
#[test]
fn a_break_that_is_told_late_is_no_second_one() {
    for way in [60, 150, 400, 900] {
        let mut tables = [(); 3].map(|()| SuspectTable::default());
        let mut told = [[SuspectCursor::default(); 3]; 3];
        let events = [Event::Lost(0, "a", "s1"), Event::Alive(250, "s1")];
        play(&mut tables[0], &events);
        let mut now = 250;
        let mut last_round = 0;
        for round in 1..=20 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let news = tables[from].tell(at(now), &mut told[from][to]);
                if !news.is_empty() {
                    last_round = round;
                }
                now += way;
                tables[to].take(at(now), &news);
            }
        }
        assert!(
            last_round <= 3,
            "told for {last_round} rounds with ways of {way} ms"
        );
        for table in &tables {
            assert!(
                table.lost_instances().next().is_none(),
                "the server lived on"
            );
        }
    }
}

const BODIES: [&str; 3] = ["a", "b", "c"];
const LIVES: [&str; 5] = ["s1", "s2", "s3", "s4", "s5"];

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (0..3u8, 0..3usize, 0..5usize).prop_map(|(kind, body, life)| match kind {
        0 | 1 => Event::Lost(0, BODIES[body], LIVES[life]),
        _ => Event::Alive(0, LIVES[life]),
    });
    proptest::collection::vec(event, 0..30).prop_map(|events| {
        // Signs of life come a second after the crash before them: no two of a kind at once.
        let stamp = |(index, event)| {
            let when = 1500 * index as u64;
            match event {
                Event::Lost(_, body, life) => Event::Lost(when, body, life),
                Event::Alive(_, life) => Event::Alive(when, life),
                Event::Served(body) => Event::Served(body),
            }
        };
        events.into_iter().enumerate().map(stamp).collect()
    })
}

proptest! {
    /// VMs that each saw a part of what happened judge alike once they have heard of each
    /// other, whatever the order, the repeats and the ways of the news.
    #[test]
    fn vms_that_hear_each_other_judge_alike(
        all in events(),
        splits in proptest::collection::vec(0..3usize, 30),
        order in proptest::collection::vec((0..3usize, 0..3usize), 0..12),
    ) {
        let now = at(100_000);
        let mut tables = [(); 3].map(|()| SuspectTable::default());
        for (event, vm) in all.iter().zip(&splits) {
            play(&mut tables[*vm], std::slice::from_ref(event));
        }
        let ways = [(0, 1), (1, 2), (2, 1), (1, 0), (0, 2), (2, 0)];
        for (from, to) in order.into_iter().chain(ways).chain(ways) {
            let told = tables[from].clone();
            tell_all(now, &told, &mut tables[to]);
        }
        for body in BODIES {
            let verdicts = tables.each_ref().map(|table| table.judge(now, request(body)));
            prop_assert_eq!(verdicts[0], verdicts[1], "{}", body);
            prop_assert_eq!(verdicts[1], verdicts[2], "{}", body);
        }
    }

    /// News ends: what is told to and fro changes nothing after a few rounds.
    #[test]
    fn news_does_not_go_round_for_ever(all in events()) {
        let mut near = SuspectTable::default();
        let mut far = SuspectTable::default();
        play(&mut near, &all);
        let (mut told_far, mut told_near) = (SuspectCursor::default(), SuspectCursor::default());
        let mut rounds = 0;
        loop {
            // Each way takes 60 ms, which makes every age a little older than it is.
            let sent = at(100_000 + rounds * 120);
            let news = near.tell(sent, &mut told_far);
            far.take(sent + Duration::from_millis(60), &news);
            let back = far.tell(sent + Duration::from_millis(60), &mut told_near);
            near.take(sent + Duration::from_millis(120), &back);
            if news.is_empty() && back.is_empty() {
                break;
            }
            rounds += 1;
            prop_assert!(rounds < 6, "still told after {} rounds", rounds);
        }
    }
}
