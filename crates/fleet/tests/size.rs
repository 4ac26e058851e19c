//! Number of servers that a VM considers in its choices in a large fleet.

mod support;

use std::collections::BTreeMap;

use onyxfall_fleet::{
    CallRequirements, EngineLimits, FleetView, HomeRegions, LocalOption, PromptPart, PromptSize,
    ServerRecord,
};
use onyxfall_types::ServerName;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{CENTERS, NEAR, at, large_view, numbered_record, place};

fn needs(shared: u64) -> CallRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(EngineLimits {
            slots: 24,
            memory_tokens: 590_000,
            token_bytes: 35_000,
            keeps_backups: false,
        }),
        prompt: PromptSize {
            parts: vec![part(part_id(shared), 5000), part(1, 1000)],
            input: 6000,
            output: 100,
            output_guess: None,
        },
        goal: std::time::Duration::from_millis(800),
        urgency: 0,
        backlog_limit: None,
        deadline: at(20_000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}

fn part_id(part: u64) -> u64 {
    part.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The server that a view chooses for a prompt with a shared part.
fn chosen(view: &mut FleetView, part: u64) -> Option<ServerName> {
    let rng = &mut StdRng::seed_from_u64(part);
    match view.choose(at(10_000), &needs(part), &[], rng) {
        LocalOption::Free(choice) => Some(view.server(choice.server).record.name.clone()),
        _ => None,
    }
}

/// Largest growth of a figure when the size of the fleet doubles.
const GROWTH: f64 = 1.2;
#[test]
fn choices_consider_no_more_servers_in_a_larger_fleet() {
    let count = |near| large_view("vm0", near, 1).live().count() as f64;
    let (single, double) = (count(NEAR), count(NEAR * 2));
    assert!(double <= single * GROWTH, "{single} servers, then {double}");
    assert!(single < NEAR as f64 / 4.0, "{single} servers");
}

#[test]
fn vms_choose_alike_regardless_of_the_order_of_entries() {
    let mut first = large_view("vm0", NEAR, 1);
    let mut second = large_view("vm1", NEAR, 2);
    for part in 0..200 {
        let choice = chosen(&mut first, part);
        assert!(choice.is_some());
        assert_eq!(choice, chosen(&mut second, part), "part {part}");
    }
}

#[test]
fn shared_parts_stay_on_few_servers() {
    let mut view = large_view("vm0", NEAR, 1);
    let mut used: BTreeMap<ServerName, u32> = BTreeMap::new();
    for part in 0..2000 {
        *used.entry(chosen(&mut view, part).unwrap()).or_default() += 1;
    }
    assert!(used.len() < 300, "{} servers", used.len());
    let most = used.values().max().unwrap();
    assert!(*most < 60, "{most} parts at one server");
}

#[test]
fn removed_servers_are_replaced_until_none_is_left() {
    let mut view = large_view("vm0", 1000, 1);
    for left in (0..1000).rev() {
        let name = chosen(&mut view, 7).unwrap();
        view.remove_server(at(10_000), name.as_str());
        assert!(left == 0 || chosen(&mut view, 7).is_some(), "{left} left");
    }
    assert!(chosen(&mut view, 7).is_none());
}

#[test]
fn an_older_instance_does_not_replace_a_newer_unused_one() {
    let mut view = FleetView::new(place("vm0", &CENTERS));
    let started_at = |number: usize, millis| ServerRecord {
        started_at: onyxfall_fleet::StartTime::from_millis(millis),
        ..numbered_record(number, "c0")
    };
    for number in 0..2000 {
        view.put_server(at(1), started_at(number, 50), None);
    }
    for number in 0..2000 {
        let mut older = started_at(number, 40);
        older.phase = onyxfall_fleet::ServerPhase::Draining { left: None };
        view.put_server(at(2), older, None);
    }
    for part in 0..50 {
        assert!(chosen(&mut view, part).is_some());
    }
    for number in 0..2000 {
        view.remove_server(at(3), &format!("i-{number:08x}"));
        view.put_server(at(4), started_at(number, 40), None);
    }
    assert_eq!(view.live().count(), 0, "the later instance is known");
}
