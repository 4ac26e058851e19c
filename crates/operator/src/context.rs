//! The commands that concern one content or one name.

use std::sync::Arc;

use onyxfall_bundle::{
    ContentDigest, OperatorRing, ServiceBundle, SignedBundle, SigningSecret, canonical_text,
    parse_bundle, verify_bundle,
};
use onyxfall_platform::{Expected, PlatformError, PlatformKeys, PlatformStore, SwapOutcome};
use onyxfall_settings::IniDocument;
use onyxfall_types::{OperatorName, RunVerdict};

use crate::error::OperatorError;

/// What every command needs.
pub struct OperatorContext {
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) keys: PlatformKeys,
    pub(crate) deployment: String,
    pub(crate) ring: OperatorRing,
    pub(crate) operator: OperatorName,
    pub(crate) secret: SigningSecret,
}

impl OperatorContext {
    /// A context for the commands of one operator.
    pub fn new(
        store: Arc<dyn PlatformStore>,
        deployment: &str,
        ring: OperatorRing,
        operator: OperatorName,
        secret: SigningSecret,
    ) -> Self {
        let keys = PlatformKeys::new(deployment);
        Self {
            store,
            keys,
            deployment: deployment.to_owned(),
            ring,
            operator,
            secret,
        }
    }

    /// Checks a bundle without touching anything.
    ///
    /// # Errors
    ///
    /// Every fault of shape, or every broken rule.
    pub fn check(file: &str, text: &str) -> Result<(ServiceBundle, String), OperatorError> {
        let document = IniDocument::parse(file, text)?;
        let bundle = parse_bundle(&document)?;
        verify_bundle(&bundle).map_err(OperatorError::Rules)?;
        Ok((bundle, canonical_text(&document)))
    }

    /// Stores a checked bundle under its digest. Storing it again changes nothing.
    ///
    /// # Errors
    ///
    /// The bundle has faults or is for another deployment, or the platform failed.
    pub fn propose(&self, file: &str, text: &str) -> Result<ContentDigest, OperatorError> {
        let (bundle, canonical) = Self::check(file, text)?;
        if bundle.name != self.deployment {
            return Err(OperatorError::Deployment(bundle.name));
        }
        let digest = ContentDigest::of(&canonical);
        self.create(&self.keys.bundle(digest), &canonical)?;
        Ok(digest)
    }

    /// Signs a proposed bundle after reading and checking what is stored.
    ///
    /// # Errors
    ///
    /// The content was not proposed or is not what its digest says, or the
    /// platform failed.
    pub fn sign_off(&self, digest: &ContentDigest) -> Result<Vec<OperatorName>, OperatorError> {
        let mut bundle = self.signed_bundle(digest)?;
        Self::check("content", &bundle.text)?;
        let signature = self.secret.sign(&SignedBundle::signing_text(digest));
        let text = json_text(&signature)?;
        self.store_again(&self.keys.signature(digest, &self.operator), &text)?;
        bundle.signatures.insert(self.operator.clone(), signature);
        Ok(bundle.signers(&self.ring))
    }

    /// Asks for the drain of a VM or backend server; again changes nothing.
    ///
    /// # Errors
    ///
    /// The platform failed.
    pub fn drain(&self, name: &str) -> Result<(), OperatorError> {
        let name: onyxfall_types::ServerName = name
            .parse()
            .map_err(|e| OperatorError::Name(format!("{e}")))?;
        self.store_again(&self.keys.drain(name), self.operator.as_str())
    }

    /// Takes a drain request back; a server that left comes back only with a
    /// new incarnation.
    ///
    /// # Errors
    ///
    /// The platform failed.
    pub fn undrain(&self, name: &str) -> Result<(), OperatorError> {
        Ok(self.store.delete(&self.keys.drain(name))?)
    }

    /// Reads a stored bundle and its signatures.
    ///
    /// # Errors
    ///
    /// The content was not proposed or is not what its digest says, or the
    /// platform failed.
    pub fn signed_bundle(&self, digest: &ContentDigest) -> Result<SignedBundle, OperatorError> {
        let stored = self.store.get(&self.keys.bundle(digest))?;
        let stored = stored.ok_or_else(|| OperatorError::NotProposed(digest.to_string()))?;
        let mut bundle = SignedBundle::unsigned(stored.value);
        if bundle.digest() != *digest {
            let detail = "it is not what its digest says".to_owned();
            return Err(OperatorError::Malformed {
                what: format!("content {digest}"),
                detail,
            });
        }
        let prefix = self.keys.signatures(digest);
        for found in self.store.list(&prefix)? {
            let name = found
                .key
                .strip_prefix(&prefix)
                .and_then(|name| name.parse().ok());
            let signature = serde_json::from_str(&found.value).ok();
            if let (Some(name), Some(signature)) = (name, signature) {
                bundle.signatures.insert(name, signature);
            }
        }
        Ok(bundle)
    }

    /// Creates a key whose value never changes.
    fn create(&self, key: &str, value: &str) -> Result<(), OperatorError> {
        match self
            .store
            .compare_and_swap(key, Expected::Absent, value, None)
        {
            Ok(SwapOutcome::Swapped(_)) => Ok(()),
            Ok(SwapOutcome::Conflict(found)) => {
                let value_found = found.as_ref().map(|f| f.value.as_str());
                same_value(key, value_found, value)
            }
            Err(e) if e.verdict == RunVerdict::NotRun => Err(e.into()),
            Err(e) => self.resolve(key, value, e),
        }
    }

    /// Writes a key for which writing the same again does no harm.
    fn store_again(&self, key: &str, value: &str) -> Result<(), OperatorError> {
        match self.store.put(key, value, None) {
            Ok(()) => Ok(()),
            Err(e) if e.verdict == RunVerdict::NotRun => Err(e.into()),
            Err(e) => self.resolve(key, value, e),
        }
    }

    /// Finds out by reading whether a write whose answer was lost took effect.
    fn resolve(&self, key: &str, value: &str, lost: PlatformError) -> Result<(), OperatorError> {
        let found = self.store.get(key).map_err(OperatorError::Unknown)?;
        match found {
            Some(found) => same_value(key, Some(&found.value), value),
            None => Err(lost.into()),
        }
    }
}

fn same_value(key: &str, found: Option<&str>, value: &str) -> Result<(), OperatorError> {
    if found == Some(value) {
        return Ok(());
    }
    let detail = "another value stands there".to_owned();
    Err(OperatorError::Malformed {
        what: key.to_owned(),
        detail,
    })
}

pub(crate) fn json_text(value: &impl serde::Serialize) -> Result<String, OperatorError> {
    let malformed = |e: serde_json::Error| OperatorError::Malformed {
        what: "value".to_owned(),
        detail: e.to_string(),
    };
    serde_json::to_string(value).map_err(malformed)
}
