use std::collections::BTreeSet;

use super::{RowPlaces, TableSet, UpstreamRow};
use crate::error::InputFault;

/// Checks the rows of both tables and the references between them, and collects the faults.
#[derive(Debug)]
pub(super) struct TableCheck<'a> {
    pub(super) set: &'a TableSet,
    places: &'a RowPlaces,
    faults: Vec<InputFault>,
}

impl<'a> TableCheck<'a> {
    pub(super) fn new(set: &'a TableSet, places: &'a RowPlaces) -> Self {
        Self {
            set,
            places,
            faults: Vec::new(),
        }
    }

    /// Runs all checks and returns the faults.
    pub(super) fn run(mut self) -> Vec<InputFault> {
        let set = self.set;
        self.check_names(
            "route",
            set.routes.routes.iter().map(|row| row.name.as_str()),
        );
        self.check_names("pool", set.pools.pools.iter().map(|row| row.name.as_str()));
        self.check_names(
            "store",
            set.pools.stores.iter().map(|row| row.name.as_str()),
        );
        let upstreams = set.pools.upstreams().map(|(_, row)| row.name.as_str());
        self.check_names("upstream", upstreams);
        for row in &set.routes.routes {
            self.check_route(row);
        }
        self.check_duplicate_matches();
        for row in &set.pools.stores {
            self.check_store(row);
        }
        for row in &set.pools.pools {
            self.check_pool(row);
        }
        self.check_upstreams();
        self.faults
    }

    fn check_names<'n>(&mut self, kind: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            let key = format!("{kind}.{name}");
            if !is_valid_name(name) {
                self.add_fault(
                    &key,
                    "the name is empty, too long or contains invalid characters",
                    "use up to 128 ASCII letters, digits, '-', '_' and '.'",
                );
            }
            if !seen.insert(name) {
                self.add_fault(
                    &key,
                    &format!("another {kind} has the same name"),
                    "rename one of them",
                );
            }
        }
    }

    /// Reports each route with the model or path of an earlier route, since requests would reach
    /// only one of the two.
    fn check_duplicate_matches(&mut self) {
        let mut models = BTreeSet::new();
        let mut paths = BTreeSet::new();
        for row in &self.set.routes.routes {
            let key = format!("route.{}", row.name);
            if let Some(model) = &row.model
                && !models.insert(model)
            {
                self.add_fault(
                    &key,
                    &format!("another route matches model {model:?}"),
                    "merge the adapters of both routes into one",
                );
            }
            if let Some(path) = &row.path
                && !paths.insert(path.trim_end_matches('/'))
            {
                self.add_fault(
                    &key,
                    &format!("another route matches path {path:?}"),
                    "give each route its own path",
                );
            }
        }
    }

    fn check_upstreams(&mut self) {
        let mut addresses = BTreeSet::new();
        for (
            _,
            UpstreamRow {
                name,
                domain,
                address,
                ..
            },
        ) in self.set.pools.upstreams()
        {
            let key = format!("upstream.{name}");
            if !is_valid_name(domain.as_str()) {
                self.add_fault(
                    &key,
                    "the domain is empty, too long or contains invalid characters",
                    "use up to 128 ASCII letters, digits, '-', '_' and '.'",
                );
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                self.add_fault(
                    &key,
                    &format!("address {address} cannot be dialled"),
                    "give an IP address and a port",
                );
            }
            if !addresses.insert(*address) {
                self.add_fault(
                    &key,
                    &format!("another upstream has the address {address}"),
                    "give each upstream its own address",
                );
            }
        }
    }

    pub(super) fn add_fault(&mut self, key: &str, problem: &str, remedy: &str) {
        self.faults.push(InputFault {
            place: self.places.place(key),
            subject: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

/// Returns whether a name is safe to use in object keys, metric tags and log lines.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 128
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
