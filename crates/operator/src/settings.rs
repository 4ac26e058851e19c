//! Settings of the operators' command.

use std::path::Path;

use onyxfall_bundle::{OperatorKey, OperatorRing};
use onyxfall_platform::PlatformSettings;
use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::OperatorName;

/// Settings of the operators' command.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Name of the deployment.
    pub deployment: String,
    /// Operator who runs the command.
    pub name: OperatorName,
    /// File with that operator's secret key.
    pub secret_file: String,
    /// Settings of the platform client.
    pub platform: PlatformSettings,
    /// Operators whose signatures are accepted.
    pub operators: OperatorRing,
}

/// Loads settings from a file.
///
/// # Errors
///
/// The file cannot be read or has faults; the error lists all of them.
pub fn load_operator_settings(path: &Path) -> Result<OperatorSettings, SettingsError> {
    read_settings(&IniDocument::load(path)?)
}

/// Parses settings from a text; `file` is the name used in error messages.
///
/// # Errors
///
/// The text has faults; the error lists all of them.
pub fn parse_operator_settings(file: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
    read_settings(&IniDocument::parse(file, text)?)
}

fn read_settings(document: &IniDocument) -> Result<OperatorSettings, SettingsError> {
    let mut faults = FaultList::new();
    document.check_headers(&["me", "platform", "operator"], &mut faults);
    let mut deployment = None;
    let mut name = None;
    let mut secret_file = None;
    if let Some(reader) = document.single("me", &mut faults) {
        deployment = reader.required("deployment", &mut faults);
        name = reader.required("name", &mut faults);
        secret_file = reader.required("secret-file", &mut faults);
        reader.finish(&mut faults);
    }
    let mut platform = PlatformSettings::new("");
    if let Some(reader) = document.single("platform", &mut faults) {
        platform.url = reader.required("url", &mut faults).unwrap_or_default();
        platform.timeout = reader.millis("timeout-ms", platform.timeout, &mut faults);
        reader.finish(&mut faults);
    }
    let mut operators = OperatorRing::default();
    for reader in document.readers("operator") {
        let operator = reader.name::<OperatorName>(&mut faults);
        let key = reader.required::<OperatorKey>("key", &mut faults);
        reader.finish(&mut faults);
        if let (Some(operator), Some(key)) = (operator, key) {
            operators.insert(operator, key);
        }
    }
    document.finish(faults)?;
    let missing = || SettingsError::new(document.file(), "", Vec::new());
    Ok(OperatorSettings {
        deployment: deployment.ok_or_else(missing)?,
        name: name.ok_or_else(missing)?,
        secret_file: secret_file.ok_or_else(missing)?,
        platform,
        operators,
    })
}
