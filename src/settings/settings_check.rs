use std::net::SocketAddr;
use std::time::Duration;

use super::raw_settings::RawSettings;
use super::{NodeSettings, SecretText};
use crate::error::{InputFault, InputPlace};

/// Checks the ranges of settings and the relations between them, and collects the faults.
pub(super) struct SettingsCheck<'a> {
    raw: &'a RawSettings,
    file_place: InputPlace,
    faults: Vec<InputFault>,
}

/// Settings that have no usable default: section, key and the remedy shown if it is missing.
const REQUIRED_SETTINGS: [(&str, &str, &str); 6] = [
    (
        "instance",
        "name",
        "add the name of the instance, such as name = \"node-1\"",
    ),
    (
        "instance",
        "domain",
        "add the failure domain, such as domain = \"harbour\"",
    ),
    (
        "caller",
        "address",
        "add the address, such as address = \"10.0.1.1:8080\"",
    ),
    (
        "peer",
        "address",
        "add the address, such as address = \"10.0.1.1:7100\"",
    ),
    (
        "admin",
        "address",
        "add the address, such as address = \"127.0.0.1:9090\"",
    ),
    (
        "platform",
        "address",
        "add the address, such as address = \"10.0.0.2:7000\"",
    ),
];

impl<'a> SettingsCheck<'a> {
    pub(super) fn new(raw: &'a RawSettings, file_place: InputPlace) -> Self {
        Self {
            raw,
            file_place,
            faults: Vec::new(),
        }
    }

    /// Runs all checks and returns the faults.
    pub(super) fn run(mut self, settings: &NodeSettings) -> Vec<InputFault> {
        for (section, key, remedy) in REQUIRED_SETTINGS {
            if self.raw.place(section, key).is_none() {
                self.add_fault(section, key, "the key is missing", remedy);
            }
        }
        self.check_instance(settings);
        self.check_addresses(settings);
        self.check_durations(settings);
        self.check_counts(settings);
        self.check_files(settings);
        self.faults
    }

    fn check_instance(&mut self, settings: &NodeSettings) {
        let names = [
            ("name", settings.instance.name.as_str()),
            ("domain", settings.instance.domain.as_str()),
        ];
        for (key, value) in names {
            let is_valid = !value.is_empty()
                && value.len() <= 128
                && value
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
            if self.raw.place("instance", key).is_some() && !is_valid {
                self.add_fault(
                    "instance",
                    key,
                    "the name is empty, too long or contains invalid characters",
                    "use up to 128 ASCII letters, digits, '-', '_' and '.'",
                );
            }
        }
    }

    fn check_addresses(&mut self, settings: &NodeSettings) {
        let ports = [
            ("caller", settings.caller.address),
            ("peer", settings.peer.address),
            ("admin", settings.admin.address),
        ];
        for (position, (section, address)) in ports.iter().enumerate() {
            let other = ports[..position]
                .iter()
                .find(|(_, earlier)| earlier == address && address.port() != 0);
            if let Some((other, _)) = other {
                self.add_fault(
                    section,
                    "address",
                    &format!("{address} is also the address of [{other}]"),
                    "give each port its own address",
                );
            }
        }
        let target_addresses: [(&str, SocketAddr); 2] = [
            ("peer", settings.peer.address),
            ("platform", settings.platform.address),
        ];
        for (section, address) in target_addresses {
            if self.raw.place(section, "address").is_some() && address.ip().is_unspecified() {
                self.add_fault(
                    section,
                    "address",
                    &format!("{address} cannot be dialled by others"),
                    "give the IP address of one interface",
                );
            }
        }
    }

    fn check_durations(&mut self, settings: &NodeSettings) {
        let peer = &settings.peer;
        let durations = [
            ("peer", "heartbeat_interval", peer.heartbeat_interval),
            ("peer", "link_timeout", peer.link_timeout),
            ("peer", "peer_timeout", peer.peer_timeout),
            ("peer", "lease", peer.lease),
            ("platform", "timeout", settings.platform.timeout),
            ("platform", "list_interval", settings.platform.list_interval),
            ("limits", "shutdown", settings.limits.shutdown),
        ];
        for (section, key, value) in durations {
            if value.is_zero() || value > Duration::from_hours(24) {
                self.add_fault(
                    section,
                    key,
                    "the duration is zero or above 24h",
                    "use a duration from 1ms to 24h",
                );
            }
        }
        if peer.link_timeout < peer.heartbeat_interval * 2 {
            self.add_fault(
                "peer",
                "link_timeout",
                "one late heartbeat would close the link",
                "use at least twice heartbeat_interval",
            );
        }
        if peer.peer_timeout <= peer.link_timeout {
            self.add_fault(
                "peer",
                "peer_timeout",
                "a peer would be considered dead before its link is reopened",
                "use more than link_timeout",
            );
        }
        if peer.lease > peer.peer_timeout {
            self.add_fault(
                "peer",
                "lease",
                "an owner would send orders after its peers have taken over",
                "use at most peer_timeout",
            );
        }
    }

    fn check_counts(&mut self, settings: &NodeSettings) {
        let limits = &settings.limits;
        let counts = [
            ("platform", "watch_relays", settings.platform.watch_relays),
            ("limits", "max_queued_requests", limits.max_queued_requests),
            ("limits", "max_open_calls", limits.max_open_calls),
        ];
        for (section, key, value) in counts {
            if value == 0 {
                self.add_fault(section, key, "the value is zero", "use at least 1");
            }
        }
        // A body is forwarded in one peer frame, which is limited to 4 MiB.
        if limits.max_body == 0 || limits.max_body > 3 << 20 {
            self.add_fault(
                "limits",
                "max_body",
                "the size is zero or does not fit into a peer frame",
                "use a size from 1B to 3MiB",
            );
        }
    }

    fn check_files(&mut self, settings: &NodeSettings) {
        let caller = &settings.caller;
        if caller.tls_certificate_file.is_some() != caller.tls_key_file.is_some() {
            let (given, missing) = if caller.tls_key_file.is_some() {
                ("tls_key_file", "tls_certificate_file")
            } else {
                ("tls_certificate_file", "tls_key_file")
            };
            self.add_fault(
                "caller",
                given,
                "TLS needs a certificate and a key",
                &format!("add {missing} or remove {given}"),
            );
        }
        let files = [
            ("tls_certificate_file", &caller.tls_certificate_file),
            ("tls_key_file", &caller.tls_key_file),
        ];
        for (key, path) in files {
            if let Some(path) = path
                && let Err(error) = std::fs::File::open(path)
            {
                self.add_fault(
                    "caller",
                    key,
                    &format!("{} cannot be read: {error}", path.display()),
                    "check the path and the permissions",
                );
            }
        }
    }

    /// Returns a secret that is set either directly or by the path of a file.
    pub(super) fn resolve_secret(
        &mut self,
        (section, key): (&str, &str),
        direct: Option<&SecretText>,
        path: Option<&std::path::Path>,
    ) -> Option<SecretText> {
        let file_key = format!("{key}_file");
        let Some(path) = path else {
            if direct.is_some_and(|secret| secret.as_str().is_empty()) {
                self.add_fault(
                    section,
                    key,
                    "the secret is empty",
                    "set it or remove the key",
                );
            }
            return direct.cloned();
        };
        if direct.is_some() {
            self.add_fault(
                section,
                &file_key,
                &format!("{key} is set as well"),
                &format!("keep one of {key} and {file_key}"),
            );
            return direct.cloned();
        }
        match std::fs::read_to_string(path) {
            Ok(text) if !text.trim().is_empty() => Some(SecretText::from_text(text.trim())),
            Ok(_) => {
                self.add_fault(
                    section,
                    &file_key,
                    &format!("{} is empty", path.display()),
                    "write the secret into the file",
                );
                None
            }
            Err(error) => {
                self.add_fault(
                    section,
                    &file_key,
                    &format!("{} cannot be read: {error}", path.display()),
                    "check the path and the permissions",
                );
                None
            }
        }
    }

    fn add_fault(&mut self, section: &str, key: &str, problem: &str, remedy: &str) {
        let place = self.raw.place(section, key).unwrap_or(&self.file_place);
        self.faults.push(InputFault {
            place: place.clone(),
            subject: format!("{section}.{key}"),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}
