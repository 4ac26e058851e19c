//! Errors of the operators' commands.

use miette::Diagnostic;
use onyxfall_bundle::{BundleFault, HeadError};
use onyxfall_platform::PlatformError;
use onyxfall_settings::SettingsError;
use thiserror::Error;

/// Reason for which a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum OperatorError {
    /// The bundle's text has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The bundle violates rules between declarations.
    #[error("the bundle violates rules:\n{}", format_faults(.0))]
    Rules(Vec<BundleFault>),
    /// The bundle is for another deployment.
    #[error("the bundle is for deployment {0}")]
    Deployment(String),
    /// The head does not allow the change.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A call to the platform failed.
    #[error(transparent)]
    #[diagnostic(help("repeat the command; it resumes where it stopped"))]
    Platform(#[from] PlatformError),
    /// It could not be determined whether a write took effect.
    #[error("the response to a write was lost and its effect cannot be read: {0}")]
    #[diagnostic(help("repeat the command; it resumes where it stopped"))]
    Unknown(PlatformError),
    /// The head was changed concurrently during every attempt.
    #[error("the head was changed concurrently in {0} attempts; repeat the command")]
    Contended(u32),
    /// A stored value is invalid.
    #[error("{what} is invalid: {detail}")]
    Malformed {
        /// The value or key concerned.
        what: String,
        /// Description of the fault.
        detail: String,
    },
    /// No content is stored under the digest.
    #[error("content {0} was not proposed")]
    NotProposed(String),
    /// The content does not have enough valid signatures.
    #[error("content {digest} is signed by {signers:?}; two operators must sign")]
    NotSignedOff {
        /// Digest of the content.
        digest: String,
        /// Operators with a valid signature.
        signers: Vec<String>,
    },
    /// Entry VMs of a region did not reach the version within the timeout.
    #[error("region {region} is not at {version} everywhere: {behind:?}")]
    #[diagnostic(help("repeat the roll to continue, or withdraw the content"))]
    Behind {
        /// Region of the entry VMs.
        region: String,
        /// Version to reach.
        version: String,
        /// Names of entry VMs that are behind or do not respond.
        behind: Vec<String>,
    },
    /// A name is malformed.
    #[error("{0}")]
    Name(String),
}

fn format_faults(faults: &[BundleFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
