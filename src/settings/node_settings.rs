use serde::Deserialize;

use super::raw_settings::RawSettings;
use super::settings_check::SettingsCheck;
use super::{
    AdminSettings, CallerSettings, InstanceSettings, LimitSettings, PeerSettings, PlatformSettings,
    SettingSources, TelemetrySettings,
};
use crate::error::{InputFault, InputPlace};

/// The checked settings of a node process, one field for each section.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// The identity and the location of the process.
    pub instance: InstanceSettings,
    /// The HTTP port for callers.
    pub caller: CallerSettings,
    /// The peer port, the links to other instances and the lease.
    pub peer: PeerSettings,
    /// The HTTP port for operators.
    pub admin: AdminSettings,
    /// Access to the object store and the instance list.
    pub platform: PlatformSettings,
    /// Limits on memory use and waiting times.
    pub limits: LimitSettings,
    /// The log level and the metrics collector.
    pub telemetry: TelemetrySettings,
}

impl NodeSettings {
    /// Parses and checks the settings, and reads the files that hold secrets.
    ///
    /// # Errors
    ///
    /// Returns the faults of all sources, sorted by place.
    pub fn from_sources(sources: &SettingSources) -> Result<Self, Vec<InputFault>> {
        let raw = RawSettings::from_sources(sources);
        let (mut settings, mut faults) = raw.to_settings();
        let file_place = sources.file.as_ref().map_or_else(
            || InputPlace::File("settings".to_owned()),
            |(path, _)| InputPlace::File(path.clone()),
        );
        let mut check = SettingsCheck::new(&raw, file_place);
        let (peer, admin) = (&mut settings.peer, &mut settings.admin);
        peer.secret = check.resolve_secret(
            ("peer", "secret"),
            peer.secret.as_ref(),
            peer.secret_file.as_deref(),
        );
        admin.token = check.resolve_secret(
            ("admin", "token"),
            admin.token.as_ref(),
            admin.token_file.as_deref(),
        );
        faults.extend(check.run(&settings));
        if faults.is_empty() {
            return Ok(settings);
        }
        faults.sort();
        Err(faults)
    }
}
