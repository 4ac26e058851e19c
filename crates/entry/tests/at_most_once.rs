//! Requests of a non-repeatable kind run at most once: with tickets, and while entries
//! are killed and connections are reset.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_fakes::{FakeService, ServiceFaults, ServiceSettings};
use support::{TestAnswer, TestDeployment, call, loopback, try_call, wait_until};

const PATH: &str = "/v1/services/post/x";

fn bundle(services: &[(usize, SocketAddr)]) -> String {
    let mut text = "[service app]\n[kind post]\nserved-by = app\nrepeatable = no\n\
                    residency = anywhere\nservice-ms = 20\ndeadline-ms = 10000\n"
        .to_owned();
    for (index, (region, address)) in services.iter().enumerate() {
        text += &[
            "[server a",
            &index.to_string(),
            "]\ndata-centre = c",
            &region.to_string(),
        ]
        .concat();
        text += &[
            "\naddress = ",
            &address.to_string(),
            "\nserves = app\nslots = 4\n",
        ]
        .concat();
    }
    text
}

fn service(work_ms: u64) -> FakeService {
    let work = Duration::from_millis(work_ms);
    FakeService::start(
        loopback(1),
        ServiceSettings {
            work,
            ..ServiceSettings::default()
        },
    )
    .unwrap()
}

fn ticket(address: SocketAddr) -> String {
    let answer = call(address, "/v1/tickets", &[], "");
    let value: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    value["ticket"].as_str().unwrap().to_owned()
}

fn with_ticket(address: SocketAddr, ticket: &str) -> TestAnswer {
    call(address, PATH, &[("idempotency-key", ticket)], "{}")
}

fn total(runs: &BTreeMap<String, u64>) -> u64 {
    runs.values().sum()
}

#[test]
fn a_repeat_with_a_ticket_gets_the_same_outcome_at_every_entry() {
    let service = service(5);
    let deployment = TestDeployment::start(&[1, 1, 2], &bundle(&[(1, service.address())]));
    wait_until("every entry lists all members", || {
        let answer = try_call(deployment.callers(1), "GET", "/v1/entries", &[], "");
        answer.is_some_and(|answer| answer.body.matches("\"name\"").count() == 3)
    });
    let ticket = ticket(deployment.callers(0));
    let first = with_ticket(deployment.callers(1), &ticket);
    assert_eq!(
        (first.status, first.verdict.as_str()),
        (200, "ran"),
        "{first:?}"
    );
    for entry in 0..3 {
        let again = with_ticket(deployment.callers(entry), &ticket);
        assert_eq!(
            (again.status, &again.body),
            (200, &first.body),
            "entry {entry}"
        );
    }
    assert_eq!(total(&service.runs()), 1);
}

#[test]
fn racing_repeats_of_a_ticket_run_once() {
    let service = service(150);
    let deployment = TestDeployment::start(&[1, 1], &bundle(&[(1, service.address())]));
    let ticket = ticket(deployment.callers(0));
    let answers: Vec<TestAnswer> = std::thread::scope(|scope| {
        let send = |i: usize| {
            let (address, ticket) = (deployment.callers(i % 2), ticket.clone());
            scope.spawn(move || with_ticket(address, &ticket))
        };
        let threads: Vec<_> = (0..8).map(send).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_eq!(total(&service.runs()), 1);
    assert!(answers.iter().any(|answer| answer.status == 200));
    assert!(
        answers.iter().all(|answer| answer.verdict != "not-run"),
        "{answers:?}"
    );
}

#[test]
fn a_lost_outcome_is_may_have_run_for_every_repeat() {
    let service = service(5);
    service.set_faults(ServiceFaults {
        drop_answer: true,
        ..ServiceFaults::default()
    });
    let deployment = TestDeployment::start(&[1], &bundle(&[(1, service.address())]));
    let ticket = ticket(deployment.callers(0));
    for _ in 0..3 {
        let answer = with_ticket(deployment.callers(0), &ticket);
        assert_eq!(answer.verdict, "may-have-run", "{answer:?}");
    }
    assert_eq!(total(&service.runs()), 1);
}

#[test]
fn a_ticket_that_was_not_run_can_be_used_again() {
    let service = service(5);
    service.set_faults(ServiceFaults {
        refusing: true,
        ..ServiceFaults::default()
    });
    let deployment = TestDeployment::start(&[1], &bundle(&[(1, service.address())]));
    let ticket = ticket(deployment.callers(0));
    assert_eq!(
        with_ticket(deployment.callers(0), &ticket).verdict,
        "not-run"
    );
    service.set_faults(ServiceFaults::default());
    wait_until("the request runs", || {
        with_ticket(deployment.callers(0), &ticket).status == 200
    });
    assert_eq!(total(&service.runs()), 1);
}

#[test]
fn a_ticket_of_an_earlier_incarnation_gets_may_have_run() {
    let service = service(5);
    let mut deployment = TestDeployment::start(&[1, 1], &bundle(&[(1, service.address())]));
    let ticket = ticket(deployment.callers(0));
    assert_eq!(with_ticket(deployment.callers(0), &ticket).status, 200);
    deployment.entries[0].take().unwrap().kill();
    let answer = with_ticket(deployment.callers(1), &ticket);
    assert_eq!(answer.verdict, "may-have-run", "{answer:?}");
    assert_eq!(total(&service.runs()), 1);
}

/// Sends requests from several callers while `disturb` runs; returns the responses.
fn send_while(
    deployment: &mut TestDeployment,
    disturb: impl FnOnce(&mut TestDeployment),
) -> Vec<TestAnswer> {
    let addresses: Vec<SocketAddr> = (0..deployment.entries.len())
        .map(|i| deployment.callers(i))
        .collect();
    let over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let send = |i: usize| {
            let (addresses, over) = (&addresses, &over);
            scope.spawn(move || {
                let mut answers = Vec::new();
                let mut at = i;
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    at += 1;
                    let address = addresses[at % addresses.len()];
                    answers.extend(try_call(address, "POST", PATH, &[], "{}"));
                }
                answers
            })
        };
        let threads: Vec<_> = (0..12).map(send).collect();
        disturb(deployment);
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    })
}

fn check_counts(services: &[&FakeService], answers: &[TestAnswer]) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in services {
        for (id, count) in service.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    assert!(
        runs.values().all(|count| *count <= 1),
        "a request ran twice"
    );
    let told = |verdict: &str| answers.iter().filter(|a| a.verdict == verdict).count();
    for answer in answers.iter().filter(|answer| answer.verdict == "not-run") {
        assert_eq!(
            runs.get(&answer.request_id),
            None,
            "the verdict is not-run, but the request ran: {answer:?}"
        );
    }
    for answer in answers.iter().filter(|answer| answer.verdict == "ran") {
        assert!(
            answer.body.contains(&answer.request_id),
            "the response belongs to another request: {answer:?}"
        );
        assert_eq!(
            runs.get(&answer.request_id),
            Some(&1),
            "the verdict is ran: {answer:?}"
        );
    }
    assert!(told("ran") > 20, "too few requests ran: {}", told("ran"));
}

#[test]
fn nothing_runs_twice_while_entries_are_killed_and_links_cut() {
    let (near, far) = (service(20), service(20));
    let services = bundle(&[(1, near.address()), (2, far.address())]);
    let mut deployment = TestDeployment::start(&[1, 1, 2], &services);
    let answers = send_while(&mut deployment, |deployment| {
        let pause = || std::thread::sleep(Duration::from_millis(300));
        pause();
        deployment.rules.set_cut(1, 2, true);
        pause();
        deployment.entries[1].take().unwrap().kill();
        pause();
        deployment.rules.set_cut(1, 2, false);
        deployment.start_entry(1);
        pause();
        deployment.entries[2].take().unwrap().kill();
        pause();
        deployment.start_entry(2);
        pause();
    });
    check_counts(&[&near, &far], &answers);
}

#[test]
fn nothing_runs_twice_while_servers_drop_responses_and_refuse() {
    let (first, second) = (service(10), service(10));
    let services = bundle(&[(1, first.address()), (1, second.address())]);
    let mut deployment = TestDeployment::start(&[1, 1], &services);
    let answers = send_while(&mut deployment, |_| {
        let faults = [
            ServiceFaults {
                drop_answer: true,
                ..ServiceFaults::default()
            },
            ServiceFaults {
                refusing: true,
                ..ServiceFaults::default()
            },
            ServiceFaults {
                draining: true,
                ..ServiceFaults::default()
            },
            ServiceFaults::default(),
        ];
        for fault in faults {
            first.set_faults(fault);
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    check_counts(&[&first, &second], &answers);
}
