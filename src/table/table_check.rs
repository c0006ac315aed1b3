use std::collections::BTreeSet;
use std::time::Duration;

use super::{PoolKind, PoolRow, RouteRow, StoreRow, TableLines, TableSet, UpstreamRow};
use crate::error::InputFault;

/// A body travels in one peer frame of at most 4 MiB; the rest is left for headers and names.
const MAX_BODY: u64 = 3 << 20;

/// Checks the rows of both tables and the joins between them.
#[derive(Debug)]
pub(super) struct TableCheck<'a> {
    set: &'a TableSet,
    lines: &'a TableLines,
    faults: Vec<InputFault>,
}

impl<'a> TableCheck<'a> {
    pub(super) fn new(set: &'a TableSet, lines: &'a TableLines) -> Self {
        Self {
            set,
            lines,
            faults: Vec::new(),
        }
    }

    /// Runs all checks.
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
        self.check_matches();
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
            if !is_plain(name) {
                self.add(
                    &key,
                    "the name is empty, too long or has other characters",
                    "use up to 128 ASCII letters, digits, '-', '_' and '.'",
                );
            }
            if !seen.insert(name) {
                self.add(
                    &key,
                    &format!("another {kind} has the same name"),
                    "rename one of them",
                );
            }
        }
    }

    fn check_route(&mut self, row: &RouteRow) {
        let key = format!("route.{}", row.name);
        match self.set.pools.pool(&row.pool) {
            None => self.add(
                &key,
                &format!("pool {:?} does not exist", row.pool),
                "name a pool of the pool table",
            ),
            Some(pool) if pool.kind == PoolKind::Model => self.check_model_route(&key, row, pool),
            Some(_) => self.check_plain_route(&key, row),
        }
        if row.timeout.is_zero() || row.timeout > Duration::from_hours(24) {
            self.add(
                &key,
                "timeout is zero or above 24h",
                "use a duration from 1ms to 24h",
            );
        }
        if row.max_body == 0 || row.max_body > MAX_BODY {
            self.add(
                &key,
                "max_body is zero or does not fit into a peer frame",
                "use a size from 1B to 3MiB",
            );
        }
    }

    fn check_model_route(&mut self, key: &str, row: &RouteRow, pool: &PoolRow) {
        match &row.model {
            None => self.add(
                key,
                &format!(
                    "pool {:?} is a model pool and the route has no model",
                    pool.name
                ),
                "add model with the base model of the pool",
            ),
            Some(model) if pool.model.as_ref() != Some(model) => self.add(
                key,
                &format!("model {model:?} is not the model of pool {:?}", pool.name),
                "name the same base model in the route and in the pool",
            ),
            Some(_) => {}
        }
        if row.path.is_some() {
            self.add(key, "a model route has a path", "remove path");
        }
        if row.adapters.is_empty() {
            self.add(
                key,
                "a model route accepts no adapter",
                "add adapters, such as adapters = [\"*@1\"]",
            );
        }
        let mut seen = BTreeSet::new();
        for rule in &row.adapters {
            if !seen.insert(rule) {
                self.add(
                    key,
                    &format!("adapter {rule} is listed twice"),
                    "remove one of them",
                );
            }
        }
        if !row.repeatable {
            self.add(
                key,
                "a model route is not repeatable",
                "remove repeatable; only plain routes support calls that run at most once",
            );
        }
    }

    fn check_plain_route(&mut self, key: &str, row: &RouteRow) {
        match &row.path {
            None => self.add(
                key,
                &format!(
                    "pool {:?} is a plain pool and the route has no path",
                    row.pool
                ),
                "add path, such as path = \"/orders\"",
            ),
            Some(path) if !is_path(path) => self.add(
                key,
                &format!("path {path:?} has an unusable form"),
                "start it with '/' and use neither '?', '#', '//', '..' nor spaces",
            ),
            Some(_) => {}
        }
        if row.model.is_some() || !row.adapters.is_empty() {
            self.add(
                key,
                "a plain route names a model or adapters",
                "remove model and adapters, or name a model pool",
            );
        }
    }

    /// A model or a path that two routes match would hide the second one.
    fn check_matches(&mut self) {
        let mut models = BTreeSet::new();
        let mut paths = BTreeSet::new();
        for row in &self.set.routes.routes {
            let key = format!("route.{}", row.name);
            if let Some(model) = &row.model
                && !models.insert(model)
            {
                self.add(
                    &key,
                    &format!("another route matches model {model:?}"),
                    "join the adapters of both routes in one",
                );
            }
            if let Some(path) = &row.path
                && !paths.insert(path.trim_end_matches('/'))
            {
                self.add(
                    &key,
                    &format!("another route matches path {path:?}"),
                    "give each route its own path",
                );
            }
        }
    }

    fn check_store(&mut self, row: &StoreRow) {
        let key = format!("store.{}", row.name);
        if !row.loads_per_second.is_finite() || row.loads_per_second <= 0.0 {
            self.add(
                &key,
                "loads_per_second is not positive",
                "use the rate that the weight store allows the whole fleet",
            );
        }
        if row.parallel == 0 {
            self.add(&key, "parallel is zero", "use at least 1");
        }
        if row.max_in_flight < row.parallel {
            self.add(
                &key,
                "max_in_flight is below parallel",
                "use at least the value of parallel",
            );
        }
        if row.load_time.is_zero() {
            self.add(
                &key,
                "load_time is zero",
                "use the time of one load, such as \"250ms\"",
            );
        }
    }

    fn check_pool(&mut self, row: &PoolRow) {
        let key = format!("pool.{}", row.name);
        let is_model = row.kind == PoolKind::Model;
        if is_model && row.model.is_none() {
            self.add(
                &key,
                "a model pool has no model",
                "add model with the base model",
            );
        }
        match &row.store {
            None if is_model => self.add(
                &key,
                "a model pool has no weight store",
                "add store with the name of a [[store]] row",
            ),
            Some(store) if is_model && self.set.pools.store(store).is_none() => self.add(
                &key,
                &format!("store {store:?} does not exist"),
                "name a [[store]] row of the pool table",
            ),
            _ => {}
        }
        if !is_model && (row.model.is_some() || row.store.is_some()) {
            self.add(
                &key,
                "a plain pool names a model or a store",
                "remove model and store, or use kind = \"model\"",
            );
        }
        if row.slots == 0 || row.max_running == 0 {
            self.add(&key, "slots or max_running is zero", "use at least 1");
        }
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        if !row.floors.values().copied().all(is_share)
            || row.floors.values().sum::<f64>() > 1.0 + 1e-9
        {
            self.add(
                &key,
                "the floors are not shares that sum to at most 1",
                "use shares from 0 to 1, such as floors = { standard = 0.2, batch = 0.1 }",
            );
        }
        if !is_share(row.stall_weight) {
            self.add(
                &key,
                "stall_weight is not from 0 to 1",
                "use 1 to favour urgent service, 0 to favour full batches",
            );
        }
        if row.frozen_owner_limit.is_zero() {
            self.add(
                &key,
                "frozen_owner_limit is zero",
                "use a duration such as \"60s\"",
            );
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
            if !is_plain(domain.as_str()) {
                self.add(
                    &key,
                    "the domain is empty, too long or has other characters",
                    "use up to 128 ASCII letters, digits, '-', '_' and '.'",
                );
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                self.add(
                    &key,
                    &format!("address {address} cannot be dialled"),
                    "give an IP address and a port",
                );
            }
            if !addresses.insert(*address) {
                self.add(
                    &key,
                    &format!("another upstream has the address {address}"),
                    "give each upstream its own address",
                );
            }
        }
    }

    fn add(&mut self, key: &str, problem: &str, remedy: &str) {
        self.faults.push(InputFault {
            place: self.lines.place(key),
            subject: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

/// Names appear in object keys, metric tags and log lines.
fn is_plain(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 128
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && !path.contains("//")
        && !path.split('/').any(|segment| segment == "..")
        && path
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
}
