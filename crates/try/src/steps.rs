//! The steps of the try-out, each with its checks.

use std::thread;
use std::time::Duration;

use onyxfall_fakes::PlatformFaults;

use crate::client::{TryRequest, TryResponse, send};
use crate::deployment::{TryDeployment, wait_until};

/// A step of the try-out.
pub(crate) struct TryStep {
    pub(crate) name: &'static str,
    pub(crate) run: fn(&mut TryDeployment) -> Result<String, String>,
}

/// All steps, in order.
pub(crate) const ALL: [TryStep; 7] = [
    TryStep {
        name: "streamed caption",
        run: streamed_caption,
    },
    TryStep {
        name: "sent away",
        run: forward_remote,
    },
    TryStep {
        name: "residency refusal",
        run: reject_by_residency,
    },
    TryStep {
        name: "plain service",
        run: plain_service,
    },
    TryStep {
        name: "cut off",
        run: cut_off,
    },
    TryStep {
        name: "rejoined at the newer bundle",
        run: rejoin,
    },
    TryStep {
        name: "drain without a cut",
        run: drain,
    },
];

fn caption(prompt: &str, tokens: u64) -> TryRequest<'_> {
    let path = "/v1/requests/photo-caption";
    TryRequest {
        path,
        prompt,
        tokens,
        stream: true,
        home: None,
    }
}

fn check(passed: bool, what: &str, response: &TryResponse) -> Result<(), String> {
    if passed {
        Ok(())
    } else {
        Err(format!("{what}: {response:?}"))
    }
}

fn is_whole(response: &TryResponse) -> bool {
    response.status == 200 && !response.broken && response.body.ends_with("data: [DONE]\n\n")
}

fn streamed_caption(deployment: &mut TryDeployment) -> Result<String, String> {
    let response = send(
        deployment.entries[0].caller_address(),
        &caption("a bride and a horse", 8),
    )?;
    check(is_whole(&response), "a whole stream", &response)?;
    check(response.verdict == "ran", "verdict ran", &response)?;
    check(response.chunks >= 4, "chunks one by one", &response)?;
    check(
        response.first_byte * 2 < response.whole,
        "first byte early",
        &response,
    )?;
    Ok(format!(
        "{} chunks, first byte after {} ms, whole after {} ms",
        response.chunks,
        response.first_byte.as_millis(),
        response.whole.as_millis()
    ))
}

fn burst(deployment: &TryDeployment, count: usize) -> Result<Vec<TryResponse>, String> {
    let entry = deployment.entries[0].caller_address();
    let sent = |i: usize| move || send(entry, &caption(&format!("album {i}"), 16));
    thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|i| scope.spawn(sent(i))).collect();
        let joined = threads
            .into_iter()
            .map(|t| t.join().map_err(|_| "a caller panicked".to_owned())?);
        joined.collect()
    })
}

fn forward_remote(deployment: &mut TryDeployment) -> Result<String, String> {
    let responses = burst(deployment, 8)?;
    for response in &responses {
        check(is_whole(response), "a whole stream", response)?;
    }
    let remote = responses
        .iter()
        .filter(|response| response.region == "townsville")
        .count();
    check(remote > 0, "some served in townsville", &responses[0])?;
    Ok(format!(
        "{remote} of {} captions served in townsville",
        responses.len()
    ))
}

fn reject_by_residency(deployment: &mut TryDeployment) -> Result<String, String> {
    let path = "/v1/requests/home-caption";
    let request = TryRequest {
        path,
        prompt: "a",
        tokens: 2,
        stream: false,
        home: Some("townsville"),
    };
    let before = total_runs(deployment);
    let rejected = send(deployment.entries[0].caller_address(), &request)?;
    check(
        rejected.status == 421 && rejected.verdict == "not-run",
        "refused not-run",
        &rejected,
    )?;
    check(
        total_runs(deployment) == before,
        "no engine ran it",
        &rejected,
    )?;
    let served = send(deployment.entries[1].caller_address(), &request)?;
    check(
        served.status == 200 && served.region == "townsville",
        "served at home",
        &served,
    )?;
    Ok("421 not-run in brisbane, served at home in townsville".to_owned())
}

fn total_runs(deployment: &TryDeployment) -> u64 {
    deployment
        .engines
        .iter()
        .map(|engine| engine.runs().values().sum::<u64>())
        .sum()
}

fn plain_service(deployment: &mut TryDeployment) -> Result<String, String> {
    let path = "/v1/services/proof-fetch/proofs/17";
    let request = TryRequest {
        path,
        prompt: "",
        tokens: 0,
        stream: false,
        home: None,
    };
    let response = send(deployment.entries[0].caller_address(), &request)?;
    check(
        response.status == 200 && response.verdict == "ran",
        "served",
        &response,
    )?;
    let counts: Vec<u64> = deployment.service.runs().values().copied().collect();
    check(counts == [1], "ran once", &response)?;
    Ok("one proof fetch, counted once by the service".to_owned())
}

fn cut_off(deployment: &mut TryDeployment) -> Result<String, String> {
    deployment.rules.set_cut(1, 2, true);
    deployment.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let responses = burst(deployment, 4)?;
    for response in &responses {
        check(
            is_whole(response) && response.region == "brisbane",
            "served at home",
            response,
        )?;
    }
    Ok(format!(
        "{} captions served with platform and other region cut off",
        responses.len()
    ))
}

fn rejoin(deployment: &mut TryDeployment) -> Result<String, String> {
    let before = deployment.version(0)?;
    deployment.platform.set_faults(PlatformFaults::default());
    let content = deployment.sign_bundle(2)?;
    let version = deployment.roll(content)?;
    deployment.rules.set_cut(1, 2, false);
    deployment.wait_versions(version)?;
    let response = send(deployment.entries[0].caller_address(), &caption("after", 4))?;
    check(
        is_whole(&response),
        "served under the newer bundle",
        &response,
    )?;
    Ok(format!(
        "from v{before} to v{} in both regions",
        deployment.version(0)?
    ))
}

fn drain(deployment: &mut TryDeployment) -> Result<String, String> {
    let entry = deployment.entries[0].caller_address();
    let open = thread::spawn(move || send(entry, &caption("a long album", 80)));
    let engine = &deployment.engines[0];
    let before: u64 = engine.runs().values().sum();
    wait_until("the stream is open", || {
        engine.runs().values().sum::<u64>() > before
    })?;
    deployment.drain("brisbane-engine")?;
    let probe = |i: usize| send(entry, &caption(&format!("probe {i}"), 2));
    let mut moved = 0;
    for i in 0..40 {
        let response = probe(i)?;
        check(is_whole(&response), "served while draining", &response)?;
        moved = if response.region == "townsville" {
            moved + 1
        } else {
            0
        };
        if moved == 5 {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let response = open.join().map_err(|_| "a caller panicked".to_owned())??;
    check(
        is_whole(&response) && response.region == "brisbane",
        "the open stream ended whole",
        &response,
    )?;
    check(moved == 5, "new work goes elsewhere", &response)?;
    Ok(format!(
        "open stream of {} chunks ended whole, new work went to townsville",
        response.chunks
    ))
}
