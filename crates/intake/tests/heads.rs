//! Which pauses of a caller count against the time limit of its request head.

use std::io;
use std::time::Duration;

use onyxfall_intake::{RequestTracker, TimedStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum CallerStep {
    /// The caller sends a byte.
    Byte,
    /// It sends nothing for longer than the limit.
    Pause,
    /// Its head is complete.
    Begin,
    /// Its request has been served.
    End,
}

use CallerStep::{Begin, Byte, End, Pause};

struct PauseCase {
    guards: &'static str,
    steps: &'static [CallerStep],
    is_late: bool,
}

const CASES: [PauseCase; 8] = [
    PauseCase {
        guards: "a head that stops is late",
        steps: &[Byte, Pause],
        is_late: true,
    },
    PauseCase {
        guards: "an idle connection is not late",
        steps: &[Pause],
        is_late: false,
    },
    PauseCase {
        guards: "a head after an idle time is timed from its first byte",
        steps: &[Pause, Byte, Begin],
        is_late: false,
    },
    PauseCase {
        guards: "a slow body is not late",
        steps: &[Byte, Begin, Pause, Byte, Pause],
        is_late: false,
    },
    PauseCase {
        guards: "an idle connection is not late after a request",
        steps: &[Byte, Begin, End, Pause],
        is_late: false,
    },
    PauseCase {
        guards: "an idle connection is not late after a body",
        steps: &[Byte, Begin, Byte, End, Pause],
        is_late: false,
    },
    PauseCase {
        guards: "a second head that stops is late",
        steps: &[Byte, Begin, End, Byte, Pause],
        is_late: true,
    },
    PauseCase {
        guards: "the rest of a head does not restart its time",
        steps: &[Byte, Byte, Pause],
        is_late: true,
    },
];

/// Reads what has arrived, and waits for `time` if that is nothing.
async fn read(stream: &mut TimedStream<DuplexStream>, time: Duration) -> io::Result<()> {
    let mut byte = [0];
    let reading = tokio::time::timeout(time, stream.read_exact(&mut byte));
    reading.await.map_or(Ok(()), |read| read.map(drop))
}

async fn play(case: &PauseCase) -> bool {
    let (mut caller, stream) = tokio::io::duplex(64);
    let tracker = RequestTracker::default();
    let mut stream = TimedStream::new(stream, LIMIT, tracker.clone());
    let mut request = None;
    for step in case.steps {
        let waited = match step {
            Byte => {
                caller.write_all(b"x").await.unwrap();
                read(&mut stream, Duration::ZERO).await
            }
            Pause => read(&mut stream, LIMIT * 2).await,
            Begin => {
                request = Some(tracker.begin_request());
                Ok(())
            }
            End => {
                request = None;
                Ok(())
            }
        };
        if waited.is_err_and(|e| e.kind() == io::ErrorKind::TimedOut) {
            return true;
        }
    }
    drop(request);
    stream.has_timed_out()
}

#[test]
fn only_a_head_that_has_begun_is_timed() {
    for case in CASES {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let is_late = runtime.block_on(play(&case));
        assert_eq!(is_late, case.is_late, "{}", case.guards);
    }
}
