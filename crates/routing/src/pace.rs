//! Rate limit for rebuilding the routing view after roster changes.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Minimum time between two builds caused by roster changes.
pub const BUILD_INTERVAL: Duration = Duration::from_millis(200);

/// Merges changes in quick succession into a single build of the view.
///
/// A change causes a build at once if at least [`BUILD_INTERVAL`] has passed since
/// the last build; otherwise the build is delayed until then.
#[derive(Debug, Default)]
pub struct BuildPacer {
    last_build: Option<MonotonicTime>,
    has_pending_change: bool,
}

impl BuildPacer {
    /// Records a roster change and returns whether a view must be built now.
    pub fn record_change(&mut self, now: MonotonicTime) -> bool {
        self.has_pending_change = true;
        self.take_due_build(now)
    }

    /// Returns whether a view must be built now for changes whose build was delayed.
    /// If so, the changes are no longer pending.
    pub fn take_due_build(&mut self, now: MonotonicTime) -> bool {
        let is_too_early = self
            .last_build
            .is_some_and(|last_build| now.since(last_build) < BUILD_INTERVAL);
        if !self.has_pending_change || is_too_early {
            return false;
        }
        self.has_pending_change = false;
        self.last_build = Some(now);
        true
    }
}
