//! Tests of the commands against a stub of the platform, with injected faults.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{HeadError, OperatorRing, SigningSecret};
use onyxfall_fakes::{FakePlatform, PlatformFaults};
use onyxfall_operator::{OperatorContext, OperatorError, RollPlan, RollProgress};
use onyxfall_platform::{
    Expected, PlatformClient, PlatformFailure, PlatformSettings, PlatformStore, SwapOutcome,
};
use onyxfall_types::{RegionName, RunVerdict};

const NAMES: [&str; 2] = ["ann", "ben"];

struct CommandBench {
    platform: FakePlatform,
    secrets: [SigningSecret; 2],
}

impl CommandBench {
    fn new() -> Self {
        let platform = FakePlatform::start(TcpListener::bind("127.0.0.1:0").unwrap()).unwrap();
        let secret = |byte: &str| byte.repeat(32).parse().unwrap();
        Self {
            platform,
            secrets: [secret("01"), secret("02")],
        }
    }

    fn client(&self) -> PlatformClient {
        let settings = PlatformSettings {
            rate: 1000.0,
            burst: 1000,
            timeout: Duration::from_secs(5),
            ..PlatformSettings::new(self.platform.url())
        };
        PlatformClient::new(settings)
    }

    fn operator(&self, index: usize) -> OperatorContext {
        let mut ring = OperatorRing::default();
        for (name, secret) in NAMES.iter().zip(&self.secrets) {
            ring.insert(name.parse().unwrap(), secret.public());
        }
        let secret = self.secrets[index].reveal().parse().unwrap();
        let name = NAMES[index].parse().unwrap();
        OperatorContext::new(Arc::new(self.client()), "demo", ring, name, secret)
    }

    fn faults(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    fn propose_signed(&self, edition: u32) -> onyxfall_bundle::ContentDigest {
        let digest = self.operator(0).propose("b.ini", &bundle(edition)).unwrap();
        self.operator(0).sign_off(&digest).unwrap();
        self.operator(1).sign_off(&digest).unwrap();
        digest
    }
}

fn bundle(edition: u32) -> String {
    format!(
        "[bundle]\nname = demo\n[region r0]\n[region r1]\n[data-centre c0]\nregion = r0\n\
         [data-centre c1]\nregion = r1\n[model m]\nversion = {edition}\n[server s]\n\
         data-centre = c0\naddress = 127.0.0.1:1\nserves = m\n"
    )
}

fn plan(content: onyxfall_bundle::ContentDigest) -> RollPlan {
    let regions: Vec<RegionName> = ["r0", "r1"].iter().map(|r| r.parse().unwrap()).collect();
    RollPlan {
        content,
        regions,
        patience: Duration::ZERO,
    }
}

struct FaultCase {
    name: &'static str,
    faults: fn() -> PlatformFaults,
    /// Whether the command succeeds despite the fault.
    succeeds: bool,
}

const FAULTS: [FaultCase; 4] = [
    FaultCase {
        name: "outage",
        faults: || PlatformFaults {
            outage: true,
            ..PlatformFaults::default()
        },
        succeeds: false,
    },
    FaultCase {
        name: "rate limit of the service",
        faults: || PlatformFaults {
            refuse_calls: 1,
            ..PlatformFaults::default()
        },
        succeeds: false,
    },
    FaultCase {
        name: "response of a write lost",
        faults: || PlatformFaults {
            lose_answers: 1,
            ..PlatformFaults::default()
        },
        succeeds: true,
    },
    FaultCase {
        name: "slow responses",
        faults: || PlatformFaults {
            delay_ms: 20,
            ..PlatformFaults::default()
        },
        succeeds: true,
    },
];

/// A command, and a check that it has taken effect.
struct CommandCase {
    name: &'static str,
    run: fn(&CommandBench) -> Result<(), OperatorError>,
    is_done: fn(&CommandBench) -> bool,
}

fn digest_of(edition: u32) -> onyxfall_bundle::ContentDigest {
    let (_, canonical) = OperatorContext::check("b.ini", &bundle(edition)).unwrap();
    onyxfall_bundle::ContentDigest::of(&canonical)
}

const COMMANDS: [CommandCase; 5] = [
    CommandCase {
        name: "propose",
        run: |bench| bench.operator(0).propose("b.ini", &bundle(7)).map(|_| ()),
        is_done: |bench| bench.operator(0).signed_bundle(&digest_of(7)).is_ok(),
    },
    CommandCase {
        name: "sign-off",
        run: |bench| bench.operator(0).sign_off(&digest_of(1)).map(|_| ()),
        is_done: |bench| {
            bench
                .operator(0)
                .signed_bundle(&digest_of(1))
                .unwrap()
                .signatures
                .len()
                == 2
        },
    },
    CommandCase {
        name: "roll",
        run: |bench| {
            bench
                .operator(0)
                .roll(&plan(digest_of(2)), |_| {})
                .map(|_| ())
        },
        is_done: |bench| {
            let head = bench.operator(0).head().unwrap();
            head.rollout.is_none() && head.regions.values().all(|r| r.content == digest_of(2))
        },
    },
    CommandCase {
        name: "withdraw",
        run: |bench| match bench.operator(1).withdraw(&digest_of(2)) {
            Ok(_) | Err(OperatorError::Head(HeadError::NotInForce { .. })) => Ok(()),
            Err(e) => Err(e),
        },
        is_done: |bench| {
            let head = bench.operator(0).head().unwrap();
            head.regions.values().all(|r| r.content == digest_of(1))
        },
    },
    CommandCase {
        name: "drain",
        run: |bench| bench.operator(0).drain("s"),
        is_done: |bench| {
            !bench
                .client()
                .list("/onyxfall/demo/drains/")
                .unwrap()
                .is_empty()
        },
    },
];

#[test]
fn every_command_under_every_fault_succeeds_when_repeated() {
    for fault in &FAULTS {
        let bench = CommandBench::new();
        bench.propose_signed(1);
        bench.operator(0).roll(&plan(digest_of(1)), |_| {}).unwrap();
        bench.propose_signed(2);
        for command in &COMMANDS {
            let before = bench.operator(0).head().unwrap().version;
            bench.faults((fault.faults)());
            let result = (command.run)(&bench);
            bench.faults(PlatformFaults::default());
            let case_name = format!("{} under {}", command.name, fault.name);
            assert_eq!(result.is_ok(), fault.succeeds, "{case_name}: {result:?}");
            (command.run)(&bench).unwrap_or_else(|e| panic!("{case_name}, repeated: {e}"));
            assert!((command.is_done)(&bench), "{case_name}: not in effect");
            let after = bench.operator(0).head().unwrap().version;
            assert!(after >= before, "{case_name}: the version decreased");
        }
        let head = bench.operator(0).head().unwrap();
        // Two rollouts of one open and two steps each, and one withdrawal. A higher
        // version means that a lost response caused a change to be applied twice.
        assert_eq!(head.version.get(), 7, "{}: {head:?}", fault.name);
    }
}

#[test]
fn of_two_concurrent_rollouts_one_wins_and_the_other_gets_an_error() {
    let bench = CommandBench::new();
    let (first, second) = (bench.propose_signed(1), bench.propose_signed(2));
    let results: Vec<Result<_, OperatorError>> = std::thread::scope(|scope| {
        let roll = |index: usize, content| {
            let operator = bench.operator(index);
            move || operator.roll(&plan(content), |_| {})
        };
        let threads = [scope.spawn(roll(0, first)), scope.spawn(roll(1, second))];
        threads.map(|thread| thread.join().unwrap()).into()
    });
    let head = bench.operator(0).head().unwrap();
    assert!(head.rollout.is_none(), "a rollout was left open");
    for (result, content) in results.iter().zip([first, second]) {
        if let Err(e) = result {
            let names_other = matches!(e, OperatorError::Head(HeadError::RolloutOpen { content: other_content, .. }) if *other_content != content);
            assert!(
                names_other,
                "the error does not name the other rollout: {e}"
            );
        }
    }
    assert!(results.iter().any(Result::is_ok), "no rollout succeeded");
    let contents: Vec<_> = head.regions.values().map(|record| record.content).collect();
    assert_eq!(contents.len(), 2);
    assert!(
        contents.iter().all(|content| *content == contents[0]),
        "the regions have different contents"
    );
}

#[test]
fn an_interrupted_rollout_can_be_resumed_and_blocks_others_until_then() {
    let bench = CommandBench::new();
    let (first, second) = (bench.propose_signed(1), bench.propose_signed(2));
    let interrupted = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let interrupt = |step: &RollProgress| assert_ne!(step.region.as_str(), "r0", "interrupt");
        bench.operator(0).roll(&plan(first), interrupt)
    }));
    assert!(interrupted.is_err());
    let error = bench.operator(1).roll(&plan(second), |_| {}).unwrap_err();
    assert!(
        matches!(error, OperatorError::Head(HeadError::RolloutOpen { .. })),
        "{error}"
    );
    bench.operator(0).roll(&plan(first), |_| {}).unwrap();
    let head = bench.operator(0).head().unwrap();
    assert_eq!(head.version.get(), 3, "one open and two steps");
    bench.operator(1).roll(&plan(second), |_| {}).unwrap();
}

#[test]
fn missing_signatures_and_invalid_contents_are_rejected() {
    let bench = CommandBench::new();
    let digest = bench.operator(0).propose("b.ini", &bundle(1)).unwrap();
    bench.operator(0).sign_off(&digest).unwrap();
    let error = bench.operator(0).roll(&plan(digest), |_| {}).unwrap_err();
    assert!(
        matches!(error, OperatorError::NotSignedOff { .. }),
        "{error}"
    );
    let error = bench.operator(1).sign_off(&digest_of(9)).unwrap_err();
    assert!(matches!(error, OperatorError::NotProposed(_)), "{error}");
    let other = bundle(1).replace("demo", "other");
    let error = bench.operator(0).propose("b.ini", &other).unwrap_err();
    assert!(matches!(error, OperatorError::Deployment(_)), "{error}");
    let key = format!("/onyxfall/demo/bundles/{digest}");
    bench
        .client()
        .put(&key, "[bundle]\nname = demo\n", None)
        .unwrap();
    let error = bench.operator(1).sign_off(&digest).unwrap_err();
    assert!(
        matches!(error, OperatorError::Malformed { .. }),
        "replaced text: {error}"
    );
}

#[test]
fn the_client_reports_whether_a_failed_call_may_have_run() {
    let bench = CommandBench::new();
    let client = bench.client();
    bench.faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let error = client.put("k", "v", None).unwrap_err();
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    assert_eq!(
        client.get("k").unwrap().unwrap().value,
        "v",
        "the write took effect"
    );
    bench.faults(PlatformFaults {
        refuse_calls: 1,
        ..PlatformFaults::default()
    });
    let error = client.put("k", "w", None).unwrap_err();
    assert_eq!(
        (error.verdict, error.failure),
        (RunVerdict::NotRun, PlatformFailure::RateLimited)
    );
    let unreachable_client = PlatformClient::new(PlatformSettings::new("http://127.0.0.1:1"));
    assert_eq!(
        unreachable_client.put("k", "w", None).unwrap_err().verdict,
        RunVerdict::NotRun
    );
    let limited_client = PlatformClient::new(PlatformSettings {
        rate: 0.01,
        burst: 1,
        ..PlatformSettings::new(bench.platform.url())
    });
    limited_client.get("k").unwrap();
    assert_eq!(
        limited_client.get("k").unwrap_err().failure,
        PlatformFailure::ClientRateLimited
    );
}

#[test]
fn compare_and_swap_leases_and_value_size_follow_the_contract() {
    let bench = CommandBench::new();
    let client = bench.client();
    let SwapOutcome::Swapped(revision) = client
        .compare_and_swap("k", Expected::Absent, "1", None)
        .unwrap()
    else {
        panic!("compare-and-swap of an absent key failed");
    };
    let conflict = client
        .compare_and_swap("k", Expected::Absent, "2", None)
        .unwrap();
    assert!(matches!(conflict, SwapOutcome::Conflict(Some(found)) if found.value == "1"));
    let swapped = client
        .compare_and_swap("k", Expected::At(revision), "3", None)
        .unwrap();
    assert!(matches!(swapped, SwapOutcome::Swapped(_)));
    let lease = client.grant_lease(Duration::from_secs(30)).unwrap();
    client.put("held", "x", Some(lease)).unwrap();
    assert!(client.keep_alive(lease).unwrap());
    client.revoke(lease).unwrap();
    assert!(
        !client.keep_alive(lease).unwrap(),
        "the revoked lease is still alive"
    );
    assert_eq!(
        client.get("held").unwrap(),
        None,
        "the key of the revoked lease still exists"
    );
    assert!(
        client.put("k", "y", Some(lease)).is_err(),
        "a write with a revoked lease succeeded"
    );
    assert!(
        client
            .put("big", &"z".repeat(1024 * 1024 + 1), None)
            .is_err()
    );
}
