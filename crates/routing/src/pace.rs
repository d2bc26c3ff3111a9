//! When a view is built again after the roster has changed.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Least time between two builds for changes of the roster.
pub const BUILD_INTERVAL: Duration = Duration::from_millis(200);

/// Merges the builds of changes that come soon after each other. The first one
/// is built at once.
#[derive(Debug, Default)]
pub struct BuildPacer {
    built: Option<MonotonicTime>,
    has_changed: bool,
}

impl BuildPacer {
    /// Notes a change, and returns whether a view has to be built now.
    pub fn record_change(&mut self, now: MonotonicTime) -> bool {
        self.has_changed = true;
        self.take_due_build(now)
    }

    /// Returns whether a view has to be built now for changes that waited.
    pub fn take_due_build(&mut self, now: MonotonicTime) -> bool {
        let is_early = self
            .built
            .is_some_and(|built| now.since(built) < BUILD_INTERVAL);
        if !self.has_changed || is_early {
            return false;
        }
        self.has_changed = false;
        self.built = Some(now);
        true
    }
}
