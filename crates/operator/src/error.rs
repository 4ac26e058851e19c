//! Why a command did not do what it should.

use miette::Diagnostic;
use onyxfall_bundle::{BundleFault, HeadError};
use onyxfall_platform::PlatformError;
use onyxfall_settings::SettingsError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum OperatorError {
    /// The bundle's text has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The bundle breaks rules.
    #[error("the bundle breaks rules:\n{}", list(.0))]
    Rules(Vec<BundleFault>),
    /// The bundle is for another deployment.
    #[error("the bundle is for deployment {0}")]
    Deployment(String),
    /// The head does not allow the change.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The platform failed.
    #[error(transparent)]
    #[diagnostic(help("repeat the command: it finds out by itself how far it came"))]
    Platform(#[from] PlatformError),
    /// It could not be found out whether a change took effect.
    #[error("the answer was lost and the head cannot be read: {0}")]
    #[diagnostic(help("repeat the command: it finds out by itself how far it came"))]
    Unknown(PlatformError),
    /// The head was changed by others each time.
    #[error("the head changed under {0} tries; repeat the command")]
    Contended(u32),
    /// What is stored cannot be read.
    #[error("{what} cannot be read: {detail}")]
    Malformed {
        /// What it is.
        what: String,
        /// What is wrong.
        detail: String,
    },
    /// No such content.
    #[error("content {0} was not proposed")]
    NotProposed(String),
    /// Too few signatures.
    #[error("content {digest} is signed by {signers:?}; two operators must sign")]
    NotSignedOff {
        /// The content.
        digest: String,
        /// Who has signed.
        signers: Vec<String>,
    },
    /// The entries of a region did not follow in time.
    #[error("region {region} is not at {version} everywhere: {behind:?}")]
    #[diagnostic(help("repeat the roll to go on, or withdraw the content"))]
    Behind {
        /// The region.
        region: String,
        /// The version.
        version: String,
        /// Entries that are behind or do not answer.
        behind: Vec<String>,
    },
    /// A name is malformed.
    #[error("{0}")]
    Name(String),
}

fn list(faults: &[BundleFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
