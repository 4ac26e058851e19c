//! What a reading of the clock costs, beside the steady clock that it took the place of.

use std::hint::black_box;
use std::time::Instant;

use criterion::{Criterion, criterion_group, criterion_main};
use onyxfall_clock::{BootInstant, SuspensionWatch};

fn read(c: &mut Criterion) {
    c.bench_function("steady clock", |b| b.iter(|| black_box(Instant::now())));
    c.bench_function("clock that counts suspension", |b| {
        b.iter(|| black_box(BootInstant::now()));
    });
    let mut watch = SuspensionWatch::start();
    c.bench_function("look for a suspension", |b| {
        let now = BootInstant::now();
        b.iter(|| black_box(watch.look(black_box(now))));
    });
}

criterion_group!(benches, read);
criterion_main!(benches);
