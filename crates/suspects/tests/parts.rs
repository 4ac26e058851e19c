//! Verdicts on requests whose prompts share parts with requests that were running on lost servers.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_suspects::{
    CallKeys, FingerprintParts, InstanceTag, PartKeys, PartScope, RequestFingerprint, SuspectTable,
};
use onyxfall_types::TeamName;

/// A part that all requests have, two that crash servers, and two sound ones.
const FIRST: u64 = 1;
const GUILTY: u64 = 2;
const OTHER: u64 = 3;
const RARE: u64 = 4;
const SECOND: u64 = 5;
/// Interval at which runs that have begun are looked at.
const REFRESH: u64 = 100;

fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

fn scope(team: Option<&str>) -> PartScope {
    let team: Option<TeamName> = team.map(|name| name.parse().unwrap());
    PartScope::of(&"models".parse().unwrap(), team.as_ref())
}

fn keys(request: &str, parts: &[u64], team: Option<&str>) -> CallKeys {
    let fingerprint = RequestFingerprint::of(&FingerprintParts {
        method: "POST",
        host: b"a.example",
        target: "/x",
        team: None,
        body: request.as_bytes(),
    });
    CallKeys {
        request: fingerprint.into(),
        parts: PartKeys::of(scope(team), parts.iter().copied()),
    }
}

/// An event that a VM records, with its time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server was lost while running a request with some parts.
    Lost(u64, &'static str, &'static [u64], &'static str),
    /// The same, where the run had been writing for some milliseconds.
    LostAfter(u64, &'static str, &'static [u64], &'static str, u64),
    /// A server that gives signs of life begins to write on a prompt with some parts.
    Began(u64, &'static [u64], &'static str),
    /// The answer that began at some time on a server ends well. The server gives no other sign.
    Ended(u64, &'static str, u64),
}

use Event::{Began, Ended, Lost, LostAfter};

/// Servers of this prefix give no signs of life.
const QUIET: &str = "quiet";

struct PartCase {
    name: &'static str,
    events: &'static [Event],
    when: u64,
    /// Parts of the request that is judged, and its verdict.
    parts: &'static [u64],
    verdict: &'static str,
}

const CASES: &[PartCase] = &[
    PartCase {
        name: "three requests with the part, sound ones between",
        events: &[
            Lost(0, "a", &[FIRST, GUILTY], "s1"),
            Began(100, &[FIRST, OTHER], "s9"),
            Lost(1000, "b", &[FIRST, GUILTY], "s2"),
            Lost(2000, "c", &[FIRST, GUILTY], "s3"),
        ],
        when: 2100,
        parts: &[FIRST, GUILTY],
        verdict: "quarantined",
    },
    PartCase {
        name: "the common first part of these requests",
        events: &[
            Lost(0, "a", &[FIRST, GUILTY], "s1"),
            Began(100, &[FIRST, OTHER], "s9"),
            Lost(1000, "b", &[FIRST, GUILTY], "s2"),
            Lost(2000, "c", &[FIRST, GUILTY], "s3"),
        ],
        when: 2100,
        parts: &[FIRST, OTHER],
        verdict: "clear",
    },
    PartCase {
        name: "a request that met the part on two servers",
        events: &[
            Lost(0, "a", &[FIRST, GUILTY], "s1"),
            Lost(0, "i", &[FIRST, RARE], "s1"),
            Began(50, &[FIRST, OTHER], "s9"),
            Lost(1000, "a", &[FIRST, GUILTY], "s2"),
            Lost(1000, "i", &[FIRST, RARE], "s2"),
            Lost(2000, "c", &[FIRST, GUILTY], "s3"),
        ],
        when: 2100,
        parts: &[FIRST, RARE],
        verdict: "clear",
    },
    PartCase {
        name: "nothing without the part has succeeded between: soon tested again",
        events: &[
            Lost(0, "a", &[FIRST], "s1"),
            Lost(1000, "b", &[FIRST], "s2"),
            Lost(2000, "c", &[FIRST], "s3"),
        ],
        when: 4100,
        parts: &[FIRST],
        verdict: "suspected",
    },
    PartCase {
        name: "the server is well again after the crashes, which is no control",
        events: &[
            Lost(0, "a", &[FIRST], "s1"),
            Lost(1000, "b", &[FIRST], "s2"),
            Lost(2000, "c", &[FIRST], "s3"),
            Began(2500, &[OTHER], "s4"),
        ],
        when: 4100,
        parts: &[FIRST],
        verdict: "suspected",
    },
    PartCase {
        name: "long runs on three servers that crash",
        events: &[
            LostAfter(0, "a", &[RARE], "s1", 3000),
            LostAfter(1000, "b", &[RARE], "s2", 800),
            LostAfter(2000, "c", &[RARE], "s3", 2000),
        ],
        when: 2100,
        parts: &[RARE],
        verdict: "clear",
    },
    PartCase {
        name: "parts that always come together",
        events: &[
            Lost(0, "a", &[OTHER, GUILTY], "s1"),
            Began(100, &[FIRST], "s9"),
            Lost(1000, "b", &[OTHER, GUILTY], "s2"),
            Lost(2000, "c", &[OTHER, GUILTY], "s3"),
        ],
        when: 4100,
        parts: &[OTHER, GUILTY],
        verdict: "quarantined",
    },
    PartCase {
        name: "one of parts that always came together is tested alone",
        events: &[
            Lost(0, "a", &[OTHER, GUILTY], "s1"),
            Began(100, &[FIRST], "s9"),
            Lost(1000, "b", &[OTHER, GUILTY], "s2"),
            Lost(2000, "c", &[OTHER, GUILTY], "s3"),
        ],
        when: 4100,
        parts: &[OTHER],
        verdict: "suspected",
    },
    PartCase {
        name: "one request that crashes servers does not accuse its parts",
        events: &[
            Lost(0, "a", &[OTHER], "s1"),
            Began(100, &[FIRST], "s9"),
            Lost(1000, "a", &[OTHER], "s2"),
            Lost(2000, "a", &[OTHER], "s3"),
        ],
        when: 4100,
        parts: &[OTHER],
        verdict: "suspected",
    },
    PartCase {
        name: "a server survived the part since",
        events: &[
            Lost(0, "a", &[RARE], "s1"),
            Lost(1000, "b", &[RARE], "s2"),
            Lost(2000, "c", &[RARE], "s3"),
            Began(2100, &[RARE, FIRST], "s9"),
        ],
        when: 3000,
        parts: &[RARE],
        verdict: "clear",
    },
    PartCase {
        name: "a server that gives no other sign ended an answer on the part",
        events: &[
            Lost(0, "a", &[RARE], "s1"),
            Lost(1000, "b", &[RARE], "s2"),
            Lost(2000, "c", &[RARE], "s3"),
            Began(2100, &[RARE, FIRST], "quiet1"),
            Ended(2200, "quiet1", 2100),
        ],
        when: 2700,
        parts: &[RARE],
        verdict: "clear",
    },
    PartCase {
        name: "a server that has not ended its answer gives no sign of life",
        events: &[
            Lost(0, "a", &[RARE], "s1"),
            Lost(1000, "b", &[RARE], "s2"),
            Lost(2000, "c", &[RARE], "s3"),
            Began(2100, &[RARE, FIRST], "quiet1"),
        ],
        when: 2700,
        parts: &[RARE],
        verdict: "quarantined",
    },
    PartCase {
        name: "the server that began was lost, too",
        events: &[
            Lost(0, "a", &[RARE], "s1"),
            Lost(1000, "b", &[RARE], "s2"),
            Began(1900, &[RARE], "s3"),
            Lost(2000, "c", &[RARE], "s3"),
        ],
        when: 2600,
        parts: &[RARE],
        verdict: "quarantined",
    },
    PartCase {
        name: "a part that a server has just survived",
        events: &[
            Began(0, &[FIRST], "s9"),
            Lost(700, "a", &[FIRST], "s1"),
            Lost(800, "b", &[FIRST], "s2"),
            Lost(900, "c", &[FIRST], "s3"),
        ],
        when: 1000,
        parts: &[FIRST],
        verdict: "clear",
    },
    PartCase {
        name: "two parts crash two servers each at the same time",
        events: TWO_PARTS,
        when: 1300,
        parts: &[FIRST, GUILTY],
        verdict: "pending",
    },
    PartCase {
        name: "a third crash of one of them, seconds later",
        events: TWO_PARTS,
        when: 3600,
        parts: &[FIRST, GUILTY],
        verdict: "quarantined",
    },
    PartCase {
        name: "the other one after that",
        events: TWO_PARTS,
        when: 3600,
        parts: &[FIRST, SECOND],
        verdict: "suspected",
    },
    PartCase {
        name: "a third crash of the other one",
        events: TWO_PARTS,
        when: 3900,
        parts: &[FIRST, SECOND],
        verdict: "quarantined",
    },
    PartCase {
        name: "two parts, but a server without them crashed near",
        events: &[
            Lost(0, "a", &[FIRST, GUILTY], "s1"),
            Lost(200, "x", &[FIRST, SECOND], "s2"),
            Began(250, &[FIRST, OTHER], "s9"),
            Lost(900, "z", &[FIRST, RARE], "s5"),
            Lost(1000, "b", &[FIRST, GUILTY], "s3"),
            Lost(1200, "y", &[FIRST, SECOND], "s4"),
        ],
        when: 1300,
        parts: &[FIRST, GUILTY],
        verdict: "clear",
    },
    PartCase {
        name: "two parts without a control",
        events: &[
            Lost(0, "a", &[FIRST, GUILTY], "s1"),
            Lost(200, "x", &[FIRST, SECOND], "s2"),
            Lost(1000, "b", &[FIRST, GUILTY], "s3"),
            Lost(1200, "y", &[FIRST, SECOND], "s4"),
        ],
        when: 1300,
        parts: &[OTHER, GUILTY],
        verdict: "clear",
    },
    PartCase {
        name: "two parts on three servers each of a rack that fails within a second",
        events: &[
            Lost(0, "a", &[GUILTY], "s1"),
            Lost(100, "x", &[SECOND], "s2"),
            Began(100, &[OTHER], "s9"),
            Lost(800, "a", &[GUILTY], "s3"),
            Lost(900, "x", &[SECOND], "s4"),
            Lost(1000, "a", &[GUILTY], "s5"),
            Lost(1100, "x", &[SECOND], "s6"),
        ],
        when: 3200,
        parts: &[GUILTY, OTHER],
        verdict: "suspected",
    },
];

/// Two parts that crash servers in turn, and a sound request between.
const TWO_PARTS: &[Event] = &[
    Lost(0, "a", &[FIRST, GUILTY], "s1"),
    Lost(200, "x", &[FIRST, SECOND], "s2"),
    Began(250, &[FIRST, OTHER], "s9"),
    Lost(1000, "b", &[FIRST, GUILTY], "s3"),
    Lost(1200, "y", &[FIRST, SECOND], "s4"),
    Lost(3500, "c", &[FIRST, GUILTY], "s5"),
    Lost(3800, "z", &[FIRST, SECOND], "s6"),
];

fn table_of(events: &[Event], until: u64, team: Option<&str>) -> SuspectTable {
    let mut table = SuspectTable::default();
    let mut events = events.iter().peekable();
    for now in 0..=until {
        let time = |event: &Event| match event {
            Lost(when, ..) | LostAfter(when, ..) | Began(when, ..) | Ended(when, ..) => *when,
        };
        while let Some(event) = events.next_if(|event| time(event) <= now) {
            let lose = |table: &mut SuspectTable, request, parts, server, written| {
                let written = Duration::from_millis(written);
                let keys = keys(request, parts, team);
                table.record_loss(at(now), &keys, InstanceTag::of(server), written);
            };
            match *event {
                Lost(_, request, parts, server) => lose(&mut table, request, parts, server, 0),
                LostAfter(_, request, parts, server, written) => {
                    lose(&mut table, request, parts, server, written);
                }
                Began(_, parts, server) => {
                    let parts = keys("", parts, team).parts;
                    table.record_start(at(now), InstanceTag::of(server), parts);
                }
                Ended(_, server, began) => {
                    table.record_end(at(began), InstanceTag::of(server));
                }
            }
        }
        if now % REFRESH == 0 {
            let is_quiet = |instance| {
                let mut quiet = (0..3).map(|number| format!("{QUIET}{number}"));
                quiet.any(|server| InstanceTag::of(&server) == instance)
            };
            table.settle(at(now), |instance| (!is_quiet(instance)).then(|| at(now)));
        }
    }
    table
}

#[test]
fn parts_are_judged_by_the_servers_lost_while_beginning_to_write_on_them() {
    for case in CASES {
        let table = table_of(case.events, case.when, None);
        let judgement = table.judge(at(case.when), &keys("new", case.parts, None));
        assert_eq!(judgement.verdict.as_str(), case.verdict, "{}", case.name);
    }
}

/// Callers name the hashes of parts themselves.
#[test]
fn a_part_is_not_accused_by_requests_of_another_team() {
    let table = table_of(CASES[0].events, 2100, Some("red"));
    for (team, verdict) in [("red", "quarantined"), ("blue", "clear")] {
        let judgement = table.judge(at(2100), &keys("new", &[FIRST, GUILTY], Some(team)));
        assert_eq!(judgement.verdict.as_str(), verdict, "{team}");
    }
}

#[test]
fn a_success_ends_a_quarantine() {
    let mut table = table_of(CASES[0].events, 2100, None);
    let call = keys("new", &[FIRST, GUILTY], None);
    let key = scope(None).key(GUILTY);
    let summaries = table.summaries(at(2100), |_| true);
    let accused: Vec<_> = summaries.iter().map(|summary| summary.key).collect();
    assert_eq!(accused, [key]);
    assert_eq!(table.judge(at(2100), &call).verdict.as_str(), "quarantined");
    table.record_success(key);
    assert_eq!(table.judge(at(2100), &call).verdict.as_str(), "clear");
    assert!(table.summaries(at(2100), |_| true).is_empty());
}

/// Made-up parts evict what was on one server, not what was on three.
#[test]
fn a_flood_of_parts_does_not_evict_a_culprit() {
    let mut table = table_of(CASES[0].events, 2100, None);
    for number in 0..3000 {
        let made_up = [1000 + 2 * number, 1001 + 2 * number];
        let flood = keys(&format!("flood{number}"), &made_up, None);
        table.record_loss(at(6000), &flood, InstanceTag::of("s5"), Duration::ZERO);
    }
    assert!(table.len() <= 4096, "{} keys are kept", table.len());
    let judgement = table.judge(at(6100), &keys("new", &[GUILTY], None));
    assert_eq!(judgement.verdict.as_str(), "quarantined");
}
