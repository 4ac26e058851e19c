//! Operators' keys and signatures (ed25519).
//!
//! Two different operators sign a content; one of them signs each roll of it
//! to a region. The texts that are signed begin with a line naming their use,
//! so that a signature for one use is worthless for another.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use onyxfall_types::OperatorName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;

/// Signatures of different operators that a content needs.
const NEEDED_SIGNATURES: usize = 2;
const KEY_LEN: usize = 32;

/// A text that is not a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a key: expected 64 hexadecimal digits of an ed25519 key")]
pub struct KeyError;

/// An operator's public key, shown as 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorKey(VerifyingKey);

impl OperatorKey {
    /// Whether `signature` over `text` is by this key.
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

/// An operator's secret key; its text form never reaches a log.
pub struct SigningSecret(SigningKey);

impl SigningSecret {
    /// Draws a new secret from the system's generator.
    pub fn generate() -> Self {
        Self(SigningKey::from_bytes(&rand::random()))
    }

    /// The public key that belongs to it.
    pub fn public(&self) -> OperatorKey {
        OperatorKey(self.0.verifying_key())
    }

    /// Signs `text`.
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

    /// The secret as 64 hexadecimal digits, for the operator's own key file.
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

/// A signature as hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SignatureText(pub String);

/// The operators that a program knows.
#[derive(Clone, Debug, Default)]
pub struct OperatorRing {
    keys: BTreeMap<OperatorName, OperatorKey>,
}

impl OperatorRing {
    /// Adds an operator; a later key of the same name replaces the former.
    pub fn insert(&mut self, name: OperatorName, key: OperatorKey) {
        self.keys.insert(name, key);
    }

    /// Number of operators.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no operator is known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether `signature` over `text` is by the operator called `name`.
    pub fn verifies(&self, name: &OperatorName, text: &str, signature: &SignatureText) -> bool {
        self.keys
            .get(name)
            .is_some_and(|key| key.verifies(text, signature))
    }

    /// Whether `signature` over `text` is by the key `key` of this ring.
    fn key_of(&self, name: &OperatorName) -> Option<String> {
        self.keys.get(name).map(ToString::to_string)
    }
}

/// A bundle's canonical text with the signatures that it has so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Canonical text.
    pub text: String,
    /// Signatures by operator.
    pub signatures: BTreeMap<OperatorName, SignatureText>,
}

impl SignedBundle {
    /// A bundle that nobody has signed.
    pub fn unsigned(text: String) -> Self {
        Self {
            text,
            signatures: BTreeMap::new(),
        }
    }

    /// Digest of the text.
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.text)
    }

    /// The text that an operator signs for `digest`.
    pub fn signing_text(digest: &ContentDigest) -> String {
        format!("onyxfall-content-v1\n{digest}\n")
    }

    /// Operators of `ring` whose signature is valid.
    pub fn signers(&self, ring: &OperatorRing) -> Vec<OperatorName> {
        let text = Self::signing_text(&self.digest());
        self.signatures
            .iter()
            .filter(|(name, signature)| ring.verifies(name, &text, signature))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether enough operators with different keys have signed.
    pub fn is_signed_off(&self, ring: &OperatorRing) -> bool {
        let keys: BTreeSet<_> = self
            .signers(ring)
            .iter()
            .filter_map(|name| ring.key_of(name))
            .collect();
        keys.len() >= NEEDED_SIGNATURES
    }
}
