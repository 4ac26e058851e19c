//! Requests forwarded by another VM are run here or rejected, never forwarded again.

mod support;

use onyxfall_events::FrameDecoder;
use onyxfall_fakes::{ServerFault, ServerStub};
use support::{Reply, ServingSite, Site, relay};

struct RelayCase {
    name: &'static str,
    failing: ServerFault,
    homes: &'static str,
    /// Verdict in the response; `None` if a server responds.
    verdict: Option<&'static str>,
    arrived: bool,
}

#[test]
fn a_forwarded_request_is_run_or_rejected_with_a_correct_verdict() {
    let cases = [
        RelayCase {
            name: "served",
            failing: ServerFault::None,
            homes: "",
            verdict: None,
            arrived: true,
        },
        RelayCase {
            name: "rejected by the server",
            failing: ServerFault::Rejects,
            homes: "",
            verdict: Some("not-run"),
            arrived: true,
        },
        RelayCase {
            name: "this region is not a home",
            failing: ServerFault::None,
            homes: "elsewhere",
            verdict: Some("not-run"),
            arrived: false,
        },
        RelayCase {
            name: "lost at the server",
            failing: ServerFault::Closes,
            homes: "",
            verdict: Some("may-have-run"),
            arrived: true,
        },
    ];
    // The second region makes forwarding possible.
    let site = Site::start(2);
    let servers = [
        ServerStub::start(site.ip(0)).unwrap(),
        ServerStub::start(site.ip(1)).unwrap(),
    ];
    site.announce("s0", &servers[0], 0);
    site.announce("s1", &servers[1], 1);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    let elsewhere = servers[1].runs().len();
    for case in cases {
        servers[0].set_fault(case.failing);
        let own = [("onyxfall-urgency", "3"), ("onyxfall-homes", case.homes)];
        let reply = relay(&gateways[0], "/once/x", "relayed", &own);
        let header = |name: &str| reply.headers.get(name).map(|value| value.to_str().unwrap());
        assert_eq!(header("onyxfall-verdict"), case.verdict, "{}", case.name);
        if case.verdict.is_some() {
            let arrived = header("onyxfall-arrived") == Some("1");
            assert_eq!(arrived, case.arrived, "{}: arrived", case.name);
        }
    }
    assert_eq!(
        servers[1].runs().len(),
        elsewhere,
        "a forwarded request was forwarded again"
    );
}

/// Guards against a VM of an older build that gets a stream in numbered frames.
#[test]
fn a_stream_is_numbered_only_for_a_vm_that_asks_for_it() {
    let ServingSite {
        gateway,
        server: _server,
        site: _site,
    } = ServingSite::start();
    for kind in ["once", "resumable"] {
        let kind_header = ("onyxfall-stream", kind);
        let asking = [kind_header, ("onyxfall-frames", "numbered")];
        let plain = relay(&gateway, "/stream/x", "plain", &[kind_header]);
        let numbered = relay(&gateway, "/stream/x", "numbered", &asking);
        let has_frames = |reply: &Reply| reply.headers.contains_key("onyxfall-frames");
        assert_eq!((has_frames(&plain), has_frames(&numbered)), (false, true));
        let mut decoder = FrameDecoder::default();
        let stream = decoder.decode(numbered.body).unwrap();
        assert_eq!(decoder.check_end(), Ok(()), "{kind}");
        for body in [plain.body, stream] {
            assert_eq!(body, ServerStub::whole_stream(), "{kind}");
        }
    }
}
