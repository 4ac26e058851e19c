//! Cost of reading the boot-time clock, compared with the monotonic clock.

use std::hint::black_box;
use std::time::Instant;

use criterion::{Criterion, criterion_group, criterion_main};
use onyxfall_clock::{BootInstant, SuspensionWatch};

fn read(c: &mut Criterion) {
    c.bench_function("monotonic clock", |b| b.iter(|| black_box(Instant::now())));
    c.bench_function("boot-time clock", |b| {
        b.iter(|| black_box(BootInstant::now()));
    });
    let mut watch = SuspensionWatch::start();
    c.bench_function("check for a suspension", |b| {
        let now = BootInstant::now();
        b.iter(|| black_box(watch.look(black_box(now))));
    });
}

criterion_group!(benches, read);
criterion_main!(benches);
