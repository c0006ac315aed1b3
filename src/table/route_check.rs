use std::collections::BTreeSet;
use std::time::Duration;

use super::table_check::TableCheck;
use super::{PoolKind, PoolRow, RouteRow};

/// A body is forwarded in one peer frame of at most 4 MiB; the remainder is reserved for headers
/// and names.
const MAX_BODY_BYTES: u64 = 3 << 20;

impl TableCheck<'_> {
    /// Checks a route and its reference to a pool.
    pub(super) fn check_route(&mut self, row: &RouteRow) {
        let key = format!("route.{}", row.name);
        match self.set.pools.pool(&row.pool) {
            None => self.add_fault(
                &key,
                &format!("pool {:?} does not exist", row.pool),
                "name a pool of the pool table",
            ),
            Some(pool) if pool.kind == PoolKind::Model => self.check_model_route(&key, row, pool),
            Some(_) => self.check_plain_route(&key, row),
        }
        if row.timeout.is_zero() || row.timeout > Duration::from_hours(24) {
            self.add_fault(
                &key,
                "timeout is zero or above 24h",
                "use a duration from 1ms to 24h",
            );
        }
        if row.max_body == 0 || row.max_body > MAX_BODY_BYTES {
            self.add_fault(
                &key,
                "max_body is zero or does not fit into a peer frame",
                "use a size from 1B to 3MiB",
            );
        }
    }

    fn check_model_route(&mut self, key: &str, row: &RouteRow, pool: &PoolRow) {
        match &row.model {
            None => self.add_fault(
                key,
                &format!(
                    "pool {:?} is a model pool and the route has no model",
                    pool.name
                ),
                "add model with the base model of the pool",
            ),
            Some(model) if pool.model.as_ref() != Some(model) => self.add_fault(
                key,
                &format!("model {model:?} is not the model of pool {:?}", pool.name),
                "name the same base model in the route and in the pool",
            ),
            Some(_) => {}
        }
        if row.path.is_some() {
            self.add_fault(key, "a model route has a path", "remove path");
        }
        if row.adapters.is_empty() {
            self.add_fault(
                key,
                "a model route accepts no adapter",
                "add adapters, such as adapters = [\"*@1\"]",
            );
        }
        let mut seen = BTreeSet::new();
        for rule in &row.adapters {
            if !seen.insert(rule) {
                self.add_fault(
                    key,
                    &format!("adapter {rule} is listed twice"),
                    "remove one of them",
                );
            }
        }
        if !row.repeatable {
            self.add_fault(
                key,
                "a model route is not repeatable",
                "remove repeatable; only plain routes support calls that run at most once",
            );
        }
    }

    fn check_plain_route(&mut self, key: &str, row: &RouteRow) {
        match &row.path {
            None => self.add_fault(
                key,
                &format!(
                    "pool {:?} is a plain pool and the route has no path",
                    row.pool
                ),
                "add path, such as path = \"/orders\"",
            ),
            Some(path) if !is_valid_path(path) => self.add_fault(
                key,
                &format!("path {path:?} is malformed"),
                "start it with '/' and use neither '?', '#', '//', '..' nor spaces",
            ),
            Some(_) => {}
        }
        if row.model.is_some() || !row.adapters.is_empty() {
            self.add_fault(
                key,
                "a plain route names a model or adapters",
                "remove model and adapters, or name a model pool",
            );
        }
    }
}

fn is_valid_path(path: &str) -> bool {
    path.starts_with('/')
        && !path.contains("//")
        && !path.split('/').any(|segment| segment == "..")
        && path
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
}
