//! Bodies that are received within a bound, or refused.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use onyxfall_held::HeldAccount;
use onyxfall_intake::{BodyError, HoldRule, UPLOAD_GRACE, collect_body};
use onyxfall_types::ByteSize;

/// A body that arrives in pieces.
struct PieceBody {
    pieces: VecDeque<usize>,
    announced: u64,
    /// Whether nothing follows the pieces, not even their end.
    stops: bool,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.pieces.pop_front() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(vec![b'x'; bytes].into())))),
            None if self.stops => Poll::Pending,
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = SizeHint::new();
        hint.set_lower(self.announced);
        hint
    }
}

/// What becomes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    Whole(usize),
    TooLarge,
    Held,
}

struct BodyCase {
    /// The failure that the case guards against.
    guards: &'static str,
    announced: u64,
    pieces: &'static [usize],
    limit: usize,
    /// Bytes that others hold, and the bound.
    others: usize,
    bound: u64,
    rule: HoldRule,
    expected: BodyEnd,
    /// Pieces that are taken.
    taken: usize,
}

const BASE: BodyCase = BodyCase {
    guards: "",
    announced: 0,
    pieces: &[],
    limit: 100,
    others: 0,
    bound: 1000,
    rule: HoldRule::WithinBound,
    expected: BodyEnd::TooLarge,
    taken: 0,
};

const CASES: &[BodyCase] = &[
    BodyCase {
        guards: "an empty body is refused",
        expected: BodyEnd::Whole(0),
        ..BASE
    },
    BodyCase {
        guards: "pieces are lost, or a body at the limit is refused",
        pieces: &[1, 40, 0, 59],
        expected: BodyEnd::Whole(100),
        taken: 4,
        ..BASE
    },
    BodyCase {
        guards: "a body that is announced as too large is taken in up to the limit",
        announced: 101,
        pieces: &[50, 51],
        ..BASE
    },
    BodyCase {
        guards: "an absurd length wraps around",
        announced: u64::MAX,
        pieces: &[50],
        ..BASE
    },
    BodyCase {
        guards: "a body without a length has no limit",
        pieces: &[60, 41, 60],
        taken: 2,
        ..BASE
    },
    BodyCase {
        guards: "a body is taken in though its announced length has no room",
        announced: 90,
        pieces: &[90],
        others: 911,
        expected: BodyEnd::Held,
        ..BASE
    },
    BodyCase {
        guards: "a body without a length passes the bound",
        pieces: &[50, 50],
        others: 940,
        expected: BodyEnd::Held,
        taken: 2,
        ..BASE
    },
    BodyCase {
        guards: "a response to a request that has run is refused",
        announced: 90,
        pieces: &[90],
        others: 1000,
        rule: HoldRule::BeyondBound,
        expected: BodyEnd::Whole(90),
        taken: 1,
        ..BASE
    },
    BodyCase {
        guards: "large bodies leave no room for small ones",
        pieces: &[65_536, 11_000],
        limit: 1 << 20,
        others: 0,
        bound: 100_000,
        expected: BodyEnd::Held,
        taken: 2,
        ..BASE
    },
    BodyCase {
        guards: "a small body has no room beside large ones",
        pieces: &[20_000],
        limit: 1 << 20,
        others: 80_000,
        bound: 100_000,
        expected: BodyEnd::Whole(20_000),
        taken: 1,
        ..BASE
    },
];

#[tokio::test(start_paused = true)]
async fn bodies_are_received_within_the_limit_and_the_bound() {
    for case in CASES {
        let account = HeldAccount::new(ByteSize::new(case.bound));
        let others = account.hold(case.others);
        let mut body = PieceBody {
            pieces: case.pieces.iter().copied().collect(),
            announced: case.announced,
            stops: false,
        };
        let held = account.hold(0);
        let collected = collect_body(&mut body, case.limit, held, case.rule).await;
        let end = match &collected {
            Ok(whole) => BodyEnd::Whole(whole.len()),
            Err(BodyError::TooLarge) => BodyEnd::TooLarge,
            Err(BodyError::Held(_)) => BodyEnd::Held,
            Err(BodyError::Broken(never)) => match *never {},
        };
        assert_eq!(end, case.expected, "{}", case.guards);
        let taken = case.pieces.len() - body.pieces.len();
        assert_eq!(taken, case.taken, "{}: pieces taken", case.guards);
        let own = collected.as_ref().map_or(0, Bytes::len);
        let held = account.held().as_usize();
        assert_eq!(held, case.others + own, "{}: held", case.guards);
        drop((collected, others));
        assert_eq!(account.held().bytes(), 0, "{}: at the end", case.guards);
    }
}

/// Guards against uploads that keep the room of others by not ending, and against ending them
/// while nobody needs it, or at once.
#[tokio::test(start_paused = true)]
async fn an_upload_that_takes_long_gives_way_when_others_need_room() {
    let account = HeldAccount::new(ByteSize::new(100));
    let mut body = PieceBody {
        pieces: [90].into(),
        announced: 100,
        stops: true,
    };
    let held = account.hold(0);
    let mut upload = std::pin::pin!(collect_body(&mut body, 100, held, HoldRule::WithinBound));
    let long = UPLOAD_GRACE * 100;
    assert!(tokio::time::timeout(long, &mut upload).await.is_err());
    assert_eq!(account.held().bytes(), 90);

    let mut next = PieceBody {
        pieces: [50].into(),
        announced: 50,
        stops: false,
    };
    let held = account.hold(0);
    let next = collect_body(&mut next, 100, held, HoldRule::WithinBound);
    let (ended, taken) = tokio::join!(upload, next);
    assert!(matches!(ended, Err(BodyError::Held(_))));
    assert_eq!(taken.unwrap().len(), 50);
}

#[tokio::test(start_paused = true)]
async fn a_recent_upload_keeps_its_room() {
    let account = HeldAccount::new(ByteSize::new(100));
    let mut body = PieceBody {
        pieces: [90].into(),
        announced: 100,
        stops: true,
    };
    let held = account.hold(0);
    let mut upload = std::pin::pin!(collect_body(&mut body, 100, held, HoldRule::WithinBound));
    let short = UPLOAD_GRACE / 10;
    assert!(tokio::time::timeout(short, &mut upload).await.is_err());
    account.demand_room();
    assert!(tokio::time::timeout(short, &mut upload).await.is_err());
    assert_eq!(account.held().bytes(), 90);
}
