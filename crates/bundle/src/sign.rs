//! Operators' keys and signatures (ed25519).
//!
//! Two operators with different keys sign a content. The operator who rolls it
//! out to a region signs the record of that region. Each signed text begins
//! with a line that identifies its purpose, so a signature for one purpose is
//! invalid for another.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use onyxfall_types::OperatorName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;

/// Number of signatures with different keys that a content requires.
const REQUIRED_SIGNATURES: usize = 2;
const KEY_LEN: usize = 32;

/// Error for a text that is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a key: expected 64 hexadecimal digits of an ed25519 key")]
pub struct KeyError;

/// An operator's public key, formatted as 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorKey(VerifyingKey);

impl OperatorKey {
    /// Whether `signature` is a valid signature of `text` by this key.
    pub fn verifies(&self, text: &str, signature: &SignatureText) -> bool {
        let Ok(bytes) = hex::decode(&signature.0) else {
            return false;
        };
        let Ok(signature) = Signature::from_slice(&bytes) else {
            return false;
        };
        self.0.verify_strict(text.as_bytes(), &signature).is_ok()
    }
}

impl fmt::Display for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

impl FromStr for OperatorKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = decode_key(text)?;
        VerifyingKey::from_bytes(&bytes)
            .map(Self)
            .map_err(|_| KeyError)
    }
}

fn decode_key(text: &str) -> Result<[u8; KEY_LEN], KeyError> {
    let mut bytes = [0; KEY_LEN];
    hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| KeyError)?;
    Ok(bytes)
}

/// An operator's secret key. The type implements neither `Display` nor `Debug`, so
/// that the key is never logged.
pub struct SigningSecret(SigningKey);

impl SigningSecret {
    /// Generates a new secret key from the thread's random number generator.
    pub fn generate() -> Self {
        Self(SigningKey::from_bytes(&rand::random()))
    }

    /// Returns the corresponding public key.
    pub fn public(&self) -> OperatorKey {
        OperatorKey(self.0.verifying_key())
    }

    /// Signs `text` with this key.
    ///
    /// ```
    /// use onyxfall_bundle::SigningSecret;
    /// let secret = SigningSecret::generate();
    /// let signature = secret.sign("text");
    /// assert!(secret.public().verifies("text", &signature));
    /// assert!(!secret.public().verifies("other", &signature));
    /// ```
    pub fn sign(&self, text: &str) -> SignatureText {
        SignatureText(hex::encode(self.0.sign(text.as_bytes()).to_bytes()))
    }

    /// Returns the secret key as 64 hexadecimal digits, for the operator's own key file.
    pub fn reveal(&self) -> String {
        hex::encode(self.0.to_bytes())
    }
}

impl FromStr for SigningSecret {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(SigningKey::from_bytes(&decode_key(text)?)))
    }
}

/// An ed25519 signature as hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SignatureText(pub String);

/// Public keys of the known operators, by name.
#[derive(Clone, Debug, Default)]
pub struct OperatorRing {
    keys: BTreeMap<OperatorName, OperatorKey>,
}

impl OperatorRing {
    /// Adds an operator, replacing an existing key of the same name.
    pub fn insert(&mut self, name: OperatorName, key: OperatorKey) {
        self.keys.insert(name, key);
    }

    /// Number of known operators.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the ring has no operator.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether `signature` is a valid signature of `text` by the operator called `name`.
    pub fn verifies(&self, name: &OperatorName, text: &str, signature: &SignatureText) -> bool {
        self.keys
            .get(name)
            .is_some_and(|key| key.verifies(text, signature))
    }

    /// Text form of the public key of the operator called `name`.
    fn key_text(&self, name: &OperatorName) -> Option<String> {
        self.keys.get(name).map(ToString::to_string)
    }
}

/// A bundle's canonical text with its signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Canonical text of the bundle.
    pub text: String,
    /// Signatures by operator name; they may be invalid.
    pub signatures: BTreeMap<OperatorName, SignatureText>,
}

impl SignedBundle {
    /// Creates a bundle without signatures.
    pub fn unsigned(text: String) -> Self {
        Self {
            text,
            signatures: BTreeMap::new(),
        }
    }

    /// Computes the digest of the text.
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.text)
    }

    /// Returns the text that an operator signs for the content `digest`.
    pub fn signing_text(digest: &ContentDigest) -> String {
        format!("onyxfall-content-v1\n{digest}\n")
    }

    /// Names of the operators in `ring` whose signature of this bundle is valid.
    pub fn signers(&self, ring: &OperatorRing) -> Vec<OperatorName> {
        let text = Self::signing_text(&self.digest());
        self.signatures
            .iter()
            .filter(|(name, signature)| ring.verifies(name, &text, signature))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether operators in `ring` with enough different keys have signed this bundle.
    pub fn is_signed_off(&self, ring: &OperatorRing) -> bool {
        let keys: BTreeSet<_> = self
            .signers(ring)
            .iter()
            .filter_map(|name| ring.key_text(name))
            .collect();
        keys.len() >= REQUIRED_SIGNATURES
    }
}
