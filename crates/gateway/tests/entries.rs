//! Servers' entries in the store: births, and what other writers leave there.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_adapter::stub::{MalformedEntry, malformed_entries, server_key};
use onyxfall_fakes::{CRASHING_BODY, ServerStub};
use support::{Site, call, call_from, record, wait_for};

const PATH: &str = "/repeat/x";
/// Servers that one request may cost.
const LOST_SERVERS: usize = 3;
const REPEATS: usize = 8;
const REPEAT_PAUSE: Duration = Duration::from_millis(400);
/// Requests after which an entry that should name no server would have got one, of two
/// servers.
const REQUESTS: usize = 30;
/// Kinds of entries that other writers leave.
const FOREIGN_KINDS: usize = 15;

/// A server that starts again under its id is another life: each of its crashes counts
/// against the request that caused it. While lives were told apart by their id alone, two
/// servers that came back under theirs were crashed without end.
#[test]
fn crashes_of_servers_that_keep_their_id_are_counted_each() {
    let site = Site::start(1);
    let start = || ServerStub::start(site.ip(0)).unwrap();
    let mut lives = vec![vec![start()], vec![start()]];
    let announce = |lives: &[Vec<ServerStub>], index: usize| {
        let life = lives[index].last().unwrap();
        let born = 1_000_000 + lives[index].len() as u64;
        site.put(&record(&format!("s{index}"), life, born));
    };
    announce(&lives, 0);
    announce(&lives, 1);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    for number in 0..REPEATS {
        let from = [127, 0, 1, 1].into();
        let id = format!("repeat{number}");
        let path = "/stream/resume/x";
        call_from(from, gateway.callers(), path, &id, CRASHING_BODY);
        thread::sleep(REPEAT_PAUSE);
        for index in 0..lives.len() {
            if lives[index].last().unwrap().is_crashed() {
                lives[index].push(start());
                announce(&lives, index);
            }
        }
    }
    let runs = lives.iter().flatten().flat_map(ServerStub::runs);
    let arrivals = runs.filter(|run| run.body == CRASHING_BODY).count();
    assert!(arrivals <= LOST_SERVERS, "{arrivals} arrivals");
}

/// An entry that cannot be understood names no server, also where a good one stood
/// before, and harms no other; a good one that follows names its server again.
#[test]
fn entries_of_other_writers_name_no_server() {
    thread::scope(|scope| {
        for kind in 0..FOREIGN_KINDS {
            scope.spawn(move || check_foreign(kind));
        }
    });
}

fn check_foreign(kind: usize) {
    let site = Site::start(1);
    let good = ServerStub::start(site.ip(0)).unwrap();
    let foreign = ServerStub::start(site.ip(0)).unwrap();
    let own_record = record("foreign", &foreign, 5);
    let left = malformed_entries(&own_record);
    assert_eq!(left.len(), FOREIGN_KINDS);
    let MalformedEntry { name, text } = left[kind].clone();
    site.put(&record("good", &good, 5));
    site.put(&own_record);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let is_used = |what: &str| {
        let mut asked = 0;
        let before = foreign.runs().len();
        wait_for(&format!("{name}: {what}"), || {
            asked += 1;
            call(gateway.callers(), PATH, &format!("{what}{asked}"));
            foreign.runs().len() > before
        });
    };
    is_used("its server to be used");
    site.store.put(&server_key("foreign"), text);
    // The entry of a third server shows that the foreign one has been read.
    let third = ServerStub::start(site.ip(0)).unwrap();
    site.put(&record("third", &third, 5));
    wait_for("the entry that followed to be read", || {
        call(gateway.callers(), PATH, "third");
        !third.runs().is_empty()
    });
    let before = foreign.runs().len();
    for number in 0..REQUESTS {
        let reply = call(gateway.callers(), PATH, &format!("tested{number}")).unwrap();
        assert!(reply.status.is_success(), "{name}: others are served");
    }
    assert_eq!(foreign.runs().len(), before, "{name}: it names no server");
    site.put(&own_record);
    is_used("its server to be used again");
}
