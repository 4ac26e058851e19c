//! The account is the sum of its live holds.

use bytes::Bytes;
use onyxfall_held::HeldAccount;
use onyxfall_types::ByteSize;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Hold(usize),
    TryHold(usize),
    Resize(usize, usize),
    Attach(usize),
    Drop(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..200usize).prop_map(Step::Hold),
        (0..200usize).prop_map(Step::TryHold),
        (0..8usize, 0..200usize).prop_map(|(index, bytes)| Step::Resize(index, bytes)),
        (0..200usize).prop_map(Step::Attach),
        (0..8usize).prop_map(Step::Drop),
    ]
}

proptest! {
    #[test]
    fn the_account_is_the_sum_of_its_live_holds(
        steps in proptest::collection::vec(any_step(), 0..60),
    ) {
        let account = HeldAccount::new(ByteSize::new(500));
        let (mut holds, mut chunks): (Vec<_>, Vec<Bytes>) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Hold(bytes) => holds.push((account.hold(bytes), bytes)),
                Step::TryHold(bytes) => {
                    let is_within = account.held().bytes() + bytes as u64 <= 500;
                    let hold = account.try_hold(bytes);
                    prop_assert_eq!(hold.is_ok(), is_within);
                    holds.extend(hold.ok().map(|hold| (hold, bytes)));
                }
                Step::Resize(index, bytes) => {
                    if let Some((hold, size)) = holds.get_mut(index) {
                        hold.resize(bytes);
                        *size = bytes;
                    }
                }
                Step::Attach(bytes) => {
                    chunks.push(account.hold(bytes).attach(Bytes::from(vec![0; bytes])));
                }
                Step::Drop(index) => {
                    if index < holds.len() {
                        holds.swap_remove(index);
                    } else {
                        chunks.pop();
                    }
                }
            }
            let held = holds.iter().map(|(_, bytes)| bytes).sum::<usize>();
            let attached = chunks.iter().map(Bytes::len).sum::<usize>();
            prop_assert_eq!(account.held(), ByteSize::new((held + attached) as u64));
        }
    }
}
