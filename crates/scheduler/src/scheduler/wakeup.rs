//! When the scheduler has to be called without an event, since a decision may change by time alone.

use super::Scheduler;
use crate::api::{Action, Micros, Shard};

/// Interval in microseconds at which requests are checked again that wait for a tag, tokens,
/// pacing, a quota of slow start, the retry budget or a node. What a request waits for has no
/// single time at which it ends: most of these also depend on what other requests are dispatched
/// meanwhile.
const RECHECK_INTERVAL: Micros = 4_000;

impl Scheduler {
    /// Requests a timer for the next time at which a decision may change, unless one is set that
    /// fires earlier.
    pub(super) fn set_timer(&mut self) {
        if self.timer_at.is_some_and(|timer_at| timer_at <= self.now) {
            self.timer_at = None;
        }
        let Some(at) = self.next_wakeup() else {
            return;
        };
        if self.timer_at.is_none_or(|timer_at| at < timer_at) {
            self.timer_at = Some(at);
            self.actions.push(Action::SetTimer(at));
        }
    }

    /// The next time at which a decision may change; `None` if only an event can change one.
    fn next_wakeup(&self) -> Option<Micros> {
        let times = [
            self.next_queue_check(),
            self.next_routing_check(),
            self.polling.next_poll_at(),
            self.rejections.next(),
            self.sequences.next_quiesced(),
        ];
        times.into_iter().flatten().min()
    }

    /// When to look for nodes for the requests that have none.
    fn next_routing_check(&self) -> Option<Micros> {
        if self.unroutable.is_empty() {
            None
        } else {
            Some(self.now + RECHECK_INTERVAL)
        }
    }

    /// When to check one of the queues again.
    fn next_queue_check(&self) -> Option<Micros> {
        let shards = self.queues.backlogged();
        shards.filter_map(|shard| self.recheck_at(shard)).min()
    }

    /// When to check a queue again; `None` where only a completed attempt or an update of the
    /// endpoint list can let a request be dispatched.
    fn recheck_at(&self, shard: Shard) -> Option<Micros> {
        let node = self.nodes.node_of(shard)?;
        if node.is_full() {
            return None;
        }
        let queue = &self.queues[shard];
        let may_dispatch_late = queue.has_late_requests() && node.is_idle_at_full_limit();
        if queue.has_on_time_requests() || may_dispatch_late {
            Some(node.paused_until().max(self.now + RECHECK_INTERVAL))
        } else {
            None
        }
    }
}
