use std::fmt;

use super::NodeReport;
use super::bearer_check::BearerCheck;
use crate::telemetry::MetricSink;

/// Builds the report of the instance.
type ReportSource = Box<dyn Fn() -> NodeReport + Send + Sync>;

/// The state shared by the endpoints of the admin server.
pub struct AdminContext {
    pub(super) report: ReportSource,
    pub(super) metrics: MetricSink,
    pub(super) check: BearerCheck,
}

impl AdminContext {
    /// Creates the context; if `token` is set, every request must carry it as a bearer token.
    #[must_use]
    pub fn new(
        report: impl Fn() -> NodeReport + Send + Sync + 'static,
        metrics: MetricSink,
        token: Option<&str>,
    ) -> Self {
        Self {
            report: Box::new(report),
            metrics,
            check: BearerCheck::new(token),
        }
    }
}

impl fmt::Debug for AdminContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminContext")
            .field("check", &self.check)
            .finish_non_exhaustive()
    }
}
