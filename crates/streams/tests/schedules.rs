//! No order of changes, losses, cuts and stale views makes a stream hold two versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_streams::{
    OwnerAnswer, ResumptionVerdict, StreamMemory, StreamOrigin, StreamTag, VersionClaim,
    VersionHistory, judge_resumption, stream_owners,
};
use onyxfall_types::{ServiceName, SoftwareVersion, VmName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE_TAG: u32 = 7;
const VMS: usize = 6;
const REGIONS: usize = 2;
const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 900;
/// Life of a stream that the VMs assume.
const LIFE: Duration = Duration::from_secs(20);
/// Longest delay with which a VM sees a change, in steps.
const STALE_STEPS: usize = 60;
/// Longest time after its begin at which a stream is resumed, in steps: less than the life, by
/// the delay of views.
const RESUME_STEPS: usize = 140;
const SCHEDULES: u64 = 300;

/// Versions of the servers at one moment; `None` for an entry without a valid one.
type Versions = BTreeSet<Option<SoftwareVersion>>;

struct Vm {
    name: VmName,
    region: usize,
    /// Delay of its view, in steps.
    delay: usize,
    history: VersionHistory,
    memory: StreamMemory,
}

struct Begun {
    tag: StreamTag,
    at: usize,
    version: Option<SoftwareVersion>,
}

struct World {
    rng: StdRng,
    service: ServiceName,
    /// The servers' versions by step.
    truth: Vec<Versions>,
    vms: Vec<Vm>,
    /// Pairs of VMs that do not hear from each other.
    cuts: BTreeSet<(usize, usize)>,
    streams: Vec<Begun>,
    /// Verdicts by kind: resumed, unknown.
    verdicts: (usize, usize),
}

fn at(step: usize) -> Moment {
    Moment::from_duration(STEP * u32::try_from(step).unwrap())
}

fn version(number: u32) -> Option<SoftwareVersion> {
    (number > 0).then(|| format!("v{number}").parse().unwrap())
}

impl World {
    fn new(seed: u64) -> Self {
        let vm = |number: usize| Vm {
            name: format!("vm{number}").parse().unwrap(),
            region: number % REGIONS,
            delay: 0,

            history: VersionHistory::new(Moment::ZERO),
            memory: StreamMemory::default(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            service: "models".parse().unwrap(),
            truth: vec![BTreeSet::from([version(1)])],
            vms: (0..VMS).map(vm).collect(),
            cuts: BTreeSet::new(),
            streams: Vec::new(),
            verdicts: (0, 0),
        }
    }

    /// Servers of a version join, or all of one leave.
    fn change_versions(&mut self) {
        let mut versions = self.truth.last().unwrap().clone();
        if self.rng.random_bool(0.02) {
            versions.insert(version(self.rng.random_range(0..4)));
        }
        if self.rng.random_bool(0.02) && versions.len() > 1 {
            let index = self.rng.random_range(0..versions.len());
            let leaving = versions.iter().nth(index).unwrap().clone();
            versions.remove(&leaving);
        }
        self.truth.push(versions);
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// VMs are restarted, cut from each other and delayed.
    fn disturb(&mut self, step: usize) {
        for vm in 0..VMS {
            if self.rng.random_bool(0.004) {
                let state = &mut self.vms[vm];
                state.history = VersionHistory::new(at(step));
                state.memory = StreamMemory::default();
                let peer = self.rng.random_range(0..VMS);
                if peer != vm && !self.is_cut(vm, peer) {
                    let history = &self.vms[peer].history;
                    let (age, entries) = (history.age(at(step)), history.entries(at(step)));
                    let entries: Vec<_> = entries.collect();
                    self.vms[vm].history.inherit(at(step), age, entries);
                }
            }
            let state = &mut self.vms[vm];
            // A view does not go back: the delay grows by at most a step a step.
            state.delay = if self.rng.random_bool(0.9) {
                (state.delay + 1).min(STALE_STEPS)
            } else {
                self.rng.random_range(0..=state.delay)
            };
            let other = self.rng.random_range(0..VMS);
            let pair = (vm.min(other), vm.max(other));
            if self.rng.random_bool(0.01) && vm != other {
                self.cuts.insert(pair);
            }
            if self.rng.random_bool(0.02) {
                self.cuts.remove(&pair);
            }
        }
    }

    fn view(&self, vm: usize, step: usize) -> &Versions {
        &self.truth[step.saturating_sub(self.vms[vm].delay)]
    }

    fn observe(&mut self, step: usize) {
        for vm in 0..VMS {
            // Every state is seen, each with the delay of the view.
            let versions = self.view(vm, step).clone();
            for version in &versions {
                let history = &mut self.vms[vm].history;
                history.record(at(step), &self.service, version.as_ref());
            }
        }
    }

    fn owners(&self, vm: usize, tag: StreamTag) -> Vec<usize> {
        let others = self
            .vms
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != vm);
        let region = self.vms[vm].region;
        let owners = stream_owners(
            tag,
            others.map(|(_, other)| (&other.name, other.region == region)),
        );
        let index: BTreeMap<&VmName, usize> = (0..VMS).map(|vm| (&self.vms[vm].name, vm)).collect();
        owners.into_iter().map(|name| index[name]).collect()
    }

    fn begin_stream(&mut self, step: usize) {
        let vm = self.rng.random_range(0..VMS);
        let versions = self.view(vm, step).clone();
        let index = self.rng.random_range(0..versions.len());
        let version = versions.into_iter().nth(index).unwrap();
        let tag = StreamTag::of(&format!("{step}-{vm}"));
        let now = at(step);
        let claim = self.vms[vm].history.claim(now, &self.service, LIFE);
        if let Some(version) = &version
            && !matches!(claim, VersionClaim::Single(_))
        {
            let mut owners = self.owners(vm, tag);
            owners.retain(|owner| !self.is_cut(vm, *owner));
            for owner in owners.into_iter().chain([vm]) {
                let origin = StreamOrigin {
                    service_tag: SERVICE_TAG,
                    version: version.clone(),
                };
                self.vms[owner].memory.record(now, tag, origin, LIFE);
            }
        }
        self.streams.push(Begun {
            tag,
            at: step,
            version,
        });
    }

    fn answer(&self, vm: usize, now: Moment, tag: StreamTag) -> OwnerAnswer {
        let state = &self.vms[vm];
        OwnerAnswer {
            origin: state.memory.origin(now, tag).cloned(),
            claim: state.history.claim(now, &self.service, LIFE),
        }
    }

    fn resume_stream(&mut self, step: usize, seed: u64) {
        let vm = self.rng.random_range(0..VMS);
        let index = self.rng.random_range(0..self.streams.len());
        let stream = &self.streams[index];
        if step - stream.at > RESUME_STEPS {
            return;
        }
        let now = at(step);
        let mut owners = self.owners(vm, stream.tag);
        owners.retain(|owner| !self.is_cut(vm, *owner));
        let answers: Vec<OwnerAnswer> = owners
            .iter()
            .map(|owner| self.answer(*owner, now, stream.tag))
            .collect();
        let own = self.answer(vm, now, stream.tag);
        match judge_resumption(SERVICE_TAG, &own, &answers, true) {
            ResumptionVerdict::Known(version, source) => {
                assert_eq!(
                    Some(&version),
                    stream.version.as_ref(),
                    "seed {seed}, step {step}: {source:?}"
                );
                self.verdicts.0 += 1;
            }
            ResumptionVerdict::Unknown => self.verdicts.1 += 1,
        }
    }
}

#[test]
fn a_resumed_stream_never_changes_its_version() {
    let mut verdicts = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.change_versions();
            world.disturb(step);
            world.observe(step);
            world.begin_stream(step);
            world.resume_stream(step, seed);
        }
        verdicts.0 += world.verdicts.0;
        verdicts.1 += world.verdicts.1;
    }
    assert!(
        verdicts.0 > verdicts.1,
        "resumed and unknown streams: {verdicts:?}"
    );
}
