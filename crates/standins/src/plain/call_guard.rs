use super::plain_core::PlainCore;

/// Counts a call while it is in progress.
#[derive(Debug)]
pub(super) struct CallGuard<'a>(&'a PlainCore);

impl<'a> CallGuard<'a> {
    pub(super) fn new(core: &'a PlainCore) -> Self {
        let mut counters = core.counters();
        counters.calls += 1;
        counters.running += 1;
        counters.peak_running = counters.peak_running.max(counters.running);
        Self(core)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.counters().running -= 1;
    }
}
