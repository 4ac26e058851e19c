//! Servers' entries in the store: births, and what other writers leave there.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_adapter::standin::server_key;
use onyxfall_fakes::{CRASHING_BODY, ServerStandIn};
use support::{SERVICE, Site, call, call_from, wait_for};

const PATH: &str = "/repeat/x";
/// Servers that one request may cost.
const LOST_SERVERS: usize = 3;
const REPEATS: usize = 8;
const REPEAT_PAUSE: Duration = Duration::from_millis(400);
/// Requests after which an entry that should name no server would have got one, of two
/// servers.
const REQUESTS: usize = 30;

/// An entry as a server writes it, with the moment of its start.
fn entry(server: &ServerStandIn, born: u64, seq: u64) -> String {
    format!(
        r#"{{"Service":"{SERVICE}","Address":"{}","Zone":"c0","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":{seq},"born":{born}}}"#,
        server.address()
    )
}

/// A server that starts again under its id is another life: each of its crashes counts
/// against the request that caused it. While lives were told apart by their id alone, two
/// servers that came back under theirs were crashed without end.
#[test]
fn crashes_of_servers_that_keep_their_id_are_counted_each() {
    let site = Site::start(1);
    let start = || ServerStandIn::start(site.ip(0)).unwrap();
    let mut lives = vec![vec![start()], vec![start()]];
    let announce = |lives: &[Vec<ServerStandIn>], index: usize| {
        let life = lives[index].last().unwrap();
        let born = 1_000_000 + lives[index].len() as u64;
        site.store
            .put(&server_key(&format!("s{index}")), entry(life, born, 1));
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
    let runs = lives.iter().flatten().flat_map(ServerStandIn::runs);
    let arrivals = runs.filter(|run| run.body == CRASHING_BODY).count();
    assert!(arrivals <= LOST_SERVERS, "{arrivals} arrivals");
}

struct ForeignCase {
    name: &'static str,
    /// The entry; `@` stands for the server's address.
    entry: &'static str,
}

const FOREIGN: &[ForeignCase] = &[
    ForeignCase {
        name: "a state that is not known",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":"resting","ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "no state",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "a number for a state",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":1,"ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "a negative number of slots",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":-1,"State":"ready","ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "more slots than there are numbers",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":18446744073709551616,"State":"ready","ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "no slots at all",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":0,"State":"ready","ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "a negative time",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":"ready","ColdLeftMs":-5}"#,
    },
    ForeignCase {
        name: "a time beyond all numbers",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":"ready","ColdLeftMs":1e400}"#,
    },
    ForeignCase {
        name: "a birth that is no whole number",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":"ready","ColdLeftMs":0,"born":"today"}"#,
    },
    ForeignCase {
        name: "a birth between two milliseconds",
        entry: r#"{"Service":"svc","Address":"@","Zone":"c0","Slots":8,"State":"ready","ColdLeftMs":0,"born":1.5}"#,
    },
    ForeignCase {
        name: "a data centre that is not known",
        entry: r#"{"Service":"svc","Address":"@","Zone":"elsewhere","Slots":8,"State":"ready","ColdLeftMs":0}"#,
    },
    ForeignCase {
        name: "a list",
        entry: r#"["svc","@","c0",8,"ready"]"#,
    },
    ForeignCase {
        name: "no JSON",
        entry: "@@@\u{0}\u{fffd}",
    },
];

/// An entry that cannot be understood names no server, also where a good one stood
/// before, and harms no other; a good one that follows names its server again.
#[test]
fn entries_of_other_writers_name_no_server() {
    thread::scope(|scope| {
        for case in FOREIGN {
            scope.spawn(move || check_foreign(case));
        }
    });
}

fn check_foreign(case: &ForeignCase) {
    let name = case.name;
    let site = Site::start(1);
    let good = ServerStandIn::start(site.ip(0)).unwrap();
    let foreign = ServerStandIn::start(site.ip(0)).unwrap();
    site.store.put(&server_key("good"), entry(&good, 5, 1));
    site.store
        .put(&server_key("foreign"), entry(&foreign, 5, 1));
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
    let text = case.entry.replace('@', &foreign.address().to_string());
    site.store.put(&server_key("foreign"), text);
    // The entry of a third server shows that the foreign one has been read.
    let third = ServerStandIn::start(site.ip(0)).unwrap();
    site.store.put(&server_key("third"), entry(&third, 5, 1));
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
    site.store
        .put(&server_key("foreign"), entry(&foreign, 5, 2));
    is_used("its server to be used again");
}
