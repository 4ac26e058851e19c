//! The steps, each with its check.

use std::thread;
use std::time::Duration;

use onyxfall_fakes::PlatformFaults;

use crate::client::{TryAnswer, TryRequest, send};
use crate::town::{TryTown, wait_until};

/// One step.
pub(crate) struct TryStep {
    pub(crate) name: &'static str,
    pub(crate) run: fn(&mut TryTown) -> Result<String, String>,
}

/// All steps, in order.
pub(crate) const ALL: [TryStep; 7] = [
    TryStep {
        name: "streamed caption",
        run: streamed_caption,
    },
    TryStep {
        name: "sent away",
        run: sent_away,
    },
    TryStep {
        name: "residency refusal",
        run: residency_refusal,
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

fn check(holds: bool, what: &str, answer: &TryAnswer) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(format!("{what}: {answer:?}"))
    }
}

fn is_whole(answer: &TryAnswer) -> bool {
    answer.status == 200 && !answer.broken && answer.body.ends_with("data: [DONE]\n\n")
}

fn streamed_caption(town: &mut TryTown) -> Result<String, String> {
    let answer = send(
        town.entries[0].caller_address(),
        &caption("a bride and a horse", 8),
    )?;
    check(is_whole(&answer), "a whole stream", &answer)?;
    check(answer.verdict == "ran", "verdict ran", &answer)?;
    check(answer.chunks >= 4, "chunks one by one", &answer)?;
    check(
        answer.first_byte * 2 < answer.whole,
        "first byte early",
        &answer,
    )?;
    Ok(format!(
        "{} chunks, first byte after {} ms, whole after {} ms",
        answer.chunks,
        answer.first_byte.as_millis(),
        answer.whole.as_millis()
    ))
}

fn burst(town: &TryTown, count: usize) -> Result<Vec<TryAnswer>, String> {
    let entry = town.entries[0].caller_address();
    let sent = |i: usize| move || send(entry, &caption(&format!("album {i}"), 16));
    thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|i| scope.spawn(sent(i))).collect();
        let joined = threads
            .into_iter()
            .map(|t| t.join().map_err(|_| "a caller panicked".to_owned())?);
        joined.collect()
    })
}

fn sent_away(town: &mut TryTown) -> Result<String, String> {
    let answers = burst(town, 8)?;
    for answer in &answers {
        check(is_whole(answer), "a whole stream", answer)?;
    }
    let away = answers
        .iter()
        .filter(|answer| answer.region == "townsville")
        .count();
    check(away > 0, "some served in townsville", &answers[0])?;
    Ok(format!(
        "{away} of {} captions served in townsville",
        answers.len()
    ))
}

fn residency_refusal(town: &mut TryTown) -> Result<String, String> {
    let path = "/v1/requests/home-caption";
    let request = TryRequest {
        path,
        prompt: "a",
        tokens: 2,
        stream: false,
        home: Some("townsville"),
    };
    let before = total_runs(town);
    let refused = send(town.entries[0].caller_address(), &request)?;
    check(
        refused.status == 421 && refused.verdict == "not-run",
        "refused not-run",
        &refused,
    )?;
    check(total_runs(town) == before, "no engine ran it", &refused)?;
    let served = send(town.entries[1].caller_address(), &request)?;
    check(
        served.status == 200 && served.region == "townsville",
        "served at home",
        &served,
    )?;
    Ok("421 not-run in brisbane, served at home in townsville".to_owned())
}

fn total_runs(town: &TryTown) -> u64 {
    town.engines
        .iter()
        .map(|engine| engine.runs().values().sum::<u64>())
        .sum()
}

fn plain_service(town: &mut TryTown) -> Result<String, String> {
    let path = "/v1/services/proof-fetch/proofs/17";
    let request = TryRequest {
        path,
        prompt: "",
        tokens: 0,
        stream: false,
        home: None,
    };
    let answer = send(town.entries[0].caller_address(), &request)?;
    check(
        answer.status == 200 && answer.verdict == "ran",
        "served",
        &answer,
    )?;
    let counts: Vec<u64> = town.service.runs().values().copied().collect();
    check(counts == [1], "ran once", &answer)?;
    Ok("one proof fetch, counted once by the service".to_owned())
}

fn cut_off(town: &mut TryTown) -> Result<String, String> {
    town.rules.set_cut(1, 2, true);
    town.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let answers = burst(town, 4)?;
    for answer in &answers {
        check(
            is_whole(answer) && answer.region == "brisbane",
            "served at home",
            answer,
        )?;
    }
    Ok(format!(
        "{} captions served with platform and other region cut off",
        answers.len()
    ))
}

fn rejoin(town: &mut TryTown) -> Result<String, String> {
    let before = town.version(0)?;
    town.platform.set_faults(PlatformFaults::default());
    let content = town.sign_bundle(2)?;
    let version = town.roll(content)?;
    town.rules.set_cut(1, 2, false);
    town.wait_versions(version)?;
    let answer = send(town.entries[0].caller_address(), &caption("after", 4))?;
    check(is_whole(&answer), "served under the newer bundle", &answer)?;
    Ok(format!(
        "from v{before} to v{} in both regions",
        town.version(0)?
    ))
}

fn drain(town: &mut TryTown) -> Result<String, String> {
    let entry = town.entries[0].caller_address();
    let open = thread::spawn(move || send(entry, &caption("a long album", 80)));
    let engine = &town.engines[0];
    let before: u64 = engine.runs().values().sum();
    wait_until("the stream is open", || {
        engine.runs().values().sum::<u64>() > before
    })?;
    town.drain("brisbane-engine")?;
    let probe = |i: usize| send(entry, &caption(&format!("probe {i}"), 2));
    let mut moved = 0;
    for i in 0..40 {
        let answer = probe(i)?;
        check(is_whole(&answer), "served while draining", &answer)?;
        moved = if answer.region == "townsville" {
            moved + 1
        } else {
            0
        };
        if moved == 5 {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let answer = open.join().map_err(|_| "a caller panicked".to_owned())??;
    check(
        is_whole(&answer) && answer.region == "brisbane",
        "the open stream ended whole",
        &answer,
    )?;
    check(moved == 5, "new work goes elsewhere", &answer)?;
    Ok(format!(
        "open stream of {} chunks ended whole, new work went to townsville",
        answer.chunks
    ))
}
