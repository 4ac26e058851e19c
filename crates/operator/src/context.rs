//! Commands that act on a single bundle, VM or backend server.

use std::sync::Arc;

use onyxfall_bundle::{
    ContentDigest, OperatorRing, ServiceBundle, SignedBundle, SigningSecret, canonical_text,
    parse_bundle, verify_bundle,
};
use onyxfall_platform::{Expected, PlatformError, PlatformKeys, PlatformStore, SwapOutcome};
use onyxfall_settings::IniDocument;
use onyxfall_types::{OperatorName, RunVerdict};

use crate::error::OperatorError;

/// Store, keys and identity of the operator, shared by all commands.
pub struct OperatorContext {
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) keys: PlatformKeys,
    pub(crate) deployment: String,
    pub(crate) ring: OperatorRing,
    pub(crate) operator: OperatorName,
    pub(crate) secret: SigningSecret,
}

impl OperatorContext {
    /// Creates the context for the commands of one operator.
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

    /// Parses and verifies a bundle without accessing the store; returns the
    /// bundle and its canonical text.
    ///
    /// # Errors
    ///
    /// All faults in the form of the declarations, or all violated rules.
    pub fn check(file: &str, text: &str) -> Result<(ServiceBundle, String), OperatorError> {
        let document = IniDocument::parse(file, text)?;
        let bundle = parse_bundle(&document)?;
        verify_bundle(&bundle).map_err(OperatorError::Rules)?;
        Ok((bundle, canonical_text(&document)))
    }

    /// Checks a bundle and stores it under its digest. The command is idempotent.
    ///
    /// # Errors
    ///
    /// The bundle has faults or is for another deployment, or a call to the
    /// platform failed.
    pub fn propose(&self, file: &str, text: &str) -> Result<ContentDigest, OperatorError> {
        let (bundle, canonical) = Self::check(file, text)?;
        if bundle.name != self.deployment {
            return Err(OperatorError::Deployment(bundle.name));
        }
        let digest = ContentDigest::of(&canonical);
        self.create(&self.keys.bundle(digest), &canonical)?;
        Ok(digest)
    }

    /// Reads and checks a proposed bundle, then signs it; returns all operators
    /// with a valid signature.
    ///
    /// # Errors
    ///
    /// The content was not proposed or does not match its digest, or a call to
    /// the platform failed.
    pub fn sign_off(&self, digest: &ContentDigest) -> Result<Vec<OperatorName>, OperatorError> {
        let mut bundle = self.signed_bundle(digest)?;
        Self::check("content", &bundle.text)?;
        let signature = self.secret.sign(&SignedBundle::signing_text(digest));
        let text = json_text(&signature)?;
        self.put_idempotent(&self.keys.signature(digest, &self.operator), &text)?;
        bundle.signatures.insert(self.operator.clone(), signature);
        Ok(bundle.signers(&self.ring))
    }

    /// Requests the drain of a VM or backend server. The command is idempotent.
    ///
    /// # Errors
    ///
    /// The name is malformed, or a call to the platform failed.
    pub fn drain(&self, name: &str) -> Result<(), OperatorError> {
        let name: onyxfall_types::ServerName = name
            .parse()
            .map_err(|e| OperatorError::Name(format!("{e}")))?;
        self.put_idempotent(&self.keys.drain(name), self.operator.as_str())
    }

    /// Cancels a drain request. A server that has already left returns only with
    /// a new incarnation.
    ///
    /// # Errors
    ///
    /// A call to the platform failed.
    pub fn undrain(&self, name: &str) -> Result<(), OperatorError> {
        Ok(self.store.delete(&self.keys.drain(name))?)
    }

    /// Reads a stored bundle and its signatures.
    ///
    /// # Errors
    ///
    /// The content was not proposed or does not match its digest, or a call to
    /// the platform failed.
    pub fn signed_bundle(&self, digest: &ContentDigest) -> Result<SignedBundle, OperatorError> {
        let stored = self.store.get(&self.keys.bundle(digest))?;
        let stored = stored.ok_or_else(|| OperatorError::NotProposed(digest.to_string()))?;
        let mut bundle = SignedBundle::unsigned(stored.value);
        if bundle.digest() != *digest {
            let detail = "the text does not match its digest".to_owned();
            return Err(OperatorError::Malformed {
                what: format!("content {digest}"),
                detail,
            });
        }
        let prefix = self.keys.signatures(digest);
        for entry in self.store.list(&prefix)? {
            let name = entry
                .key
                .strip_prefix(&prefix)
                .and_then(|name| name.parse().ok());
            let signature = serde_json::from_str(&entry.value).ok();
            if let (Some(name), Some(signature)) = (name, signature) {
                bundle.signatures.insert(name, signature);
            }
        }
        Ok(bundle)
    }

    /// Creates a key whose value is immutable; succeeds if it exists with the same value.
    fn create(&self, key: &str, value: &str) -> Result<(), OperatorError> {
        match self
            .store
            .compare_and_swap(key, Expected::Absent, value, None)
        {
            Ok(SwapOutcome::Swapped(_)) => Ok(()),
            Ok(SwapOutcome::Conflict(found)) => {
                let value_found = found.as_ref().map(|f| f.value.as_str());
                check_same_value(key, value_found, value)
            }
            Err(e) if e.verdict == RunVerdict::NotRun => Err(e.into()),
            Err(e) => self.resolve_write(key, value, e),
        }
    }

    /// Writes a key for which repeating the write is harmless.
    fn put_idempotent(&self, key: &str, value: &str) -> Result<(), OperatorError> {
        match self.store.put(key, value, None) {
            Ok(()) => Ok(()),
            Err(e) if e.verdict == RunVerdict::NotRun => Err(e.into()),
            Err(e) => self.resolve_write(key, value, e),
        }
    }

    /// Reads the key to determine whether a write whose response was lost took effect.
    fn resolve_write(
        &self,
        key: &str,
        value: &str,
        write_error: PlatformError,
    ) -> Result<(), OperatorError> {
        let found = self.store.get(key).map_err(OperatorError::Unknown)?;
        match found {
            Some(found) => check_same_value(key, Some(&found.value), value),
            None => Err(write_error.into()),
        }
    }
}

fn check_same_value(key: &str, found: Option<&str>, value: &str) -> Result<(), OperatorError> {
    if found == Some(value) {
        return Ok(());
    }
    let detail = "the key has another value".to_owned();
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
