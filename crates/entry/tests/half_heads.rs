//! Responses of backend servers that stop at any byte of the head.

mod support;

use support::{RawBackend, RawBehaviour, TestDeployment, call};

struct HeadCase {
    name: &'static str,
    status: u16,
    head: &'static str,
}

const CASES: [HeadCase; 3] = [
    HeadCase {
        name: "success",
        status: 200,
        head: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\ncontent-type: text/plain\r\n\r\n",
    },
    HeadCase {
        name: "redirect",
        status: 302,
        head: "HTTP/1.1 302 Found\r\nlocation: /y\r\ncontent-length: 0\r\nx-a: b\r\n\r\n",
    },
    HeadCase {
        name: "client error",
        status: 404,
        head: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nx-a: b\r\n\r\n",
    },
];

/// Guards against a head that stops midway and reaches the caller as a whole response.
#[test]
fn a_head_that_stops_midway_is_no_response() {
    for case in &CASES {
        let server = RawBackend::start(1, RawBehaviour::Parts(case.head));
        let bundle = format!(
            "[service app]\n[kind post]\nserved-by = app\nrepeatable = no\nresidency = anywhere\n\
             service-ms = 20\ndeadline-ms = 10000\n[server a]\ndata-centre = c1\naddress = {}\n\
             serves = app\nslots = 4\n",
            server.address
        );
        let deployment = TestDeployment::start(&[1], &bundle);
        let mut parts = 0;
        while parts < case.head.len() {
            let before = server.count();
            let answer = call(deployment.callers(0), "/v1/services/post/x", &[], "{}");
            if server.count() == before {
                assert_eq!(answer.verdict, "not-run", "{}: {answer:?}", case.name);
                continue;
            }
            let Some(part) = RawBehaviour::part_of(before) else {
                assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
                continue;
            };
            let what = format!("{}, {part} of {} bytes", case.name, case.head.len());
            assert_eq!(answer.status, 502, "{what}: {answer:?}");
            assert_eq!(answer.verdict, "may-have-run", "{what}");
            parts = part + 1;
        }
    }
}
