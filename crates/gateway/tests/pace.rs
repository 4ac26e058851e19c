//! The pace in a server's responses is read, counted and, if malformed, ignored.

mod support;

use http::StatusCode;
use support::{Site, call, get, wait_for};

const CHANGES: &str = "onyxfall_pace_changes_total";
const MALFORMED: &str = "onyxfall_malformed_paces_total";

/// A phase in which the server states a load.
struct LoadCase {
    name: &'static str,
    load: &'static str,
    /// Counter that the responses increase; none if they must not change any.
    counter: Option<&'static str>,
}

/// Guards against a figure that is not read from real responses, and against a malformed one
/// that fails a request.
#[test]
fn a_gateway_reads_the_pace_of_responses() {
    let case = |name, load, counter| LoadCase {
        name,
        load,
        counter,
    };
    let cases = [
        case("three fields", "1,0,4", None),
        case("slow", "1,0,4,400", Some(CHANGES)),
        case("the same again", "2,0,4,400", None),
        case("as usual", "1, 0, 4, 100", Some(CHANGES)),
        case("not a number", "1,0,4,slow", Some(MALFORMED)),
        case("five fields", "1,0,4,100,1", Some(MALFORMED)),
    ];
    let site = Site::start(1);
    let servers = site.start_servers(1);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let total = |counter: &str| -> u64 {
        let metrics = get(gateway.ready(), "/metrics").unwrap();
        let line = metrics
            .text()
            .lines()
            .find_map(|line| line.strip_prefix(counter));
        line.map_or(0, |value| value.trim().parse().unwrap())
    };
    for case in cases {
        let before = [CHANGES, MALFORMED].map(total);
        servers[0].set_load(Some(case.load));
        for number in 0..3 {
            let id = format!("{}-{number}", case.load.len());
            let reply = call(gateway.callers(), "/repeat/x", &id).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{}", case.name);
        }
        match case.counter {
            Some(counter) => {
                let index = usize::from(counter == MALFORMED);
                wait_for(case.name, || total(counter) > before[index]);
            }
            None => assert_eq!([CHANGES, MALFORMED].map(total), before, "{}", case.name),
        }
    }
}
