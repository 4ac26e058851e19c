//! Configuration of this VM and how it comes into force.
//!
//! The store keeps the records of all regions and the contents that they name, so that
//! peers can fetch them from this VM. A record is accepted only together with its
//! content, signed off by two operators. The accepted record of the own region comes
//! into force. A record that is not newer than the accepted one has no effect.

use std::collections::BTreeMap;
use std::sync::Arc;

use onyxfall_bundle::{
    AcceptError, ContentDigest, OperatorRing, RegionRecord, ServiceBundle, SignedBundle,
    VersionGate, parse_bundle, verify_bundle,
};
use onyxfall_settings::IniDocument;
use onyxfall_types::{RegionName, stable_hash};

use crate::core::EntryCore;
use crate::metrics::CounterName;

/// Maximum number of records that wait for their content.
const MAX_PENDING: usize = 256;

/// Configuration held in memory.
pub(crate) struct ConfigStore {
    ring: OperatorRing,
    gates: BTreeMap<RegionName, VersionGate>,
    contents: BTreeMap<ContentDigest, SignedBundle>,
    pending: BTreeMap<RegionName, RegionRecord>,
}

impl ConfigStore {
    pub(crate) fn new(ring: OperatorRing) -> Self {
        Self {
            ring,
            gates: BTreeMap::new(),
            contents: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Accepted records of all regions.
    pub(crate) fn records(&self) -> Vec<RegionRecord> {
        self.gates
            .values()
            .filter_map(|gate| gate.accepted().cloned())
            .collect()
    }

    /// Hash of the accepted records; equal stores have equal hashes.
    pub(crate) fn records_hash(&self) -> u64 {
        let texts: Vec<String> = self
            .records()
            .iter()
            .map(|record| format!("{} {} {}", record.region, record.version, record.content))
            .collect();
        let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
        stable_hash(&parts)
    }

    /// Returns a stored content.
    pub(crate) fn content(&self, digest: &ContentDigest) -> Option<&SignedBundle> {
        self.contents.get(digest)
    }

    /// Adds an offered record to the pending ones; returns the digest of its content if
    /// that must be fetched.
    fn offer(&mut self, record: RegionRecord) -> Result<Option<ContentDigest>, AcceptError> {
        let gate = self.gates.entry(record.region.clone()).or_default();
        gate.check(&record, &self.ring)?;
        let content = record.content;
        let newer = self
            .pending
            .get(&record.region)
            .is_none_or(|p| p.version <= record.version);
        if newer && self.pending.len() < MAX_PENDING {
            self.pending.insert(record.region.clone(), record);
        }
        Ok((!self.contents.contains_key(&content)).then_some(content))
    }

    /// Stores a content if a pending record names it and two operators signed it off.
    fn add_content(&mut self, bundle: SignedBundle) -> Result<(), String> {
        let digest = bundle.digest();
        if !self.pending.values().any(|record| record.content == digest) {
            return Ok(());
        }
        if !bundle.is_signed_off(&self.ring) {
            return Err(format!(
                "content {digest:?} lacks two operators' signatures"
            ));
        }
        self.contents.insert(digest, bundle);
        Ok(())
    }

    /// Accepts the pending records whose content is stored; returns them.
    fn accept_ready(&mut self) -> Vec<(RegionRecord, SignedBundle)> {
        let ready: Vec<RegionRecord> = self
            .pending
            .values()
            .filter(|record| self.contents.contains_key(&record.content))
            .cloned()
            .collect();
        let mut accepted = Vec::new();
        for record in ready {
            self.pending.remove(&record.region);
            let gate = self.gates.entry(record.region.clone()).or_default();
            if gate.accept(record.clone(), &self.ring).is_ok()
                && let Some(bundle) = self.contents.get(&record.content)
            {
                accepted.push((record, bundle.clone()));
            }
        }
        self.drop_unused();
        accepted
    }

    fn drop_unused(&mut self) {
        let used: Vec<ContentDigest> = self
            .gates
            .values()
            .filter_map(|gate| gate.accepted().map(|record| record.content))
            .chain(self.pending.values().map(|record| record.content))
            .collect();
        self.contents.retain(|digest, _| used.contains(digest));
    }
}

/// Processes offered records; returns the digests of the contents to fetch.
pub(crate) fn offer_records(core: &EntryCore, records: Vec<RegionRecord>) -> Vec<ContentDigest> {
    let mut missing = Vec::new();
    for record in records {
        let result = core.config.lock().offer(record);
        match result {
            Ok(Some(digest)) if !missing.contains(&digest) => missing.push(digest),
            Ok(_) | Err(AcceptError::Current(_)) => {}
            Err(e) => record_alarm(core, &e),
        }
    }
    bring_into_force(core);
    missing
}

/// Stores a content and brings the records that it completes into force.
pub(crate) fn offer_content(core: &EntryCore, bundle: SignedBundle) {
    let result = core.config.lock().add_content(bundle);
    if let Err(e) = result {
        core.metrics.count(CounterName::AlarmBadBundle);
        log::error!("alarm: bundle not accepted: {e}");
    }
    bring_into_force(core);
}

fn record_alarm(core: &EntryCore, error: &AcceptError) {
    if let AcceptError::Older { .. } = error {
        core.metrics.count(CounterName::AlarmOlderHead);
        log::warn!("alarm: {error}; the accepted record stays in force");
    } else {
        core.metrics.count(CounterName::AlarmBadBundle);
        log::error!("alarm: record not accepted: {error}");
    }
}

fn bring_into_force(core: &EntryCore) {
    let accepted = core.config.lock().accept_ready();
    for (record, bundle) in accepted {
        if record.region != core.settings.region {
            continue;
        }
        match check_content(core, &bundle)
            .and_then(|bundle| core.set_bundle(&bundle, record.version))
        {
            Ok(()) => {
                log::info!("{} ({:?}) is in force", record.version, record.content);
            }
            Err(e) => {
                core.metrics.count(CounterName::AlarmBadBundle);
                log::error!(
                    "alarm: {} cannot be used, the previous version stays in force: {e}",
                    record.version
                );
            }
        }
    }
}

fn check_content(core: &EntryCore, bundle: &SignedBundle) -> Result<Arc<ServiceBundle>, String> {
    let document = IniDocument::parse("bundle", &bundle.text).map_err(|e| e.to_string())?;
    let parsed = parse_bundle(&document).map_err(|e| e.to_string())?;
    verify_bundle(&parsed).map_err(|faults| {
        let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
        texts.join("; ")
    })?;
    if parsed.name != core.settings.deployment {
        return Err(format!("the bundle is for deployment {}", parsed.name));
    }
    Ok(Arc::new(parsed))
}
