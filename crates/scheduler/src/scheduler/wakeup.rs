//! Computes when the scheduler must be called even if no event occurs, because some decisions
//! change with time alone.

use super::Scheduler;
use crate::api::{Action, Micros, Shard};

/// Interval in microseconds at which waiting requests are checked again. It applies to requests
/// that wait for a tag, tokens, pacing, slow-start quota, the retry budget or a node. The end of
/// such a wait cannot be computed in advance, because it usually also depends on the requests that
/// are dispatched in the meantime.
const RECHECK_INTERVAL: Micros = 4_000;

impl Scheduler {
    /// Requests a timer for the next time at which a decision may change, unless a timer that fires
    /// no later is already set.
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

    /// Returns the next time at which a decision may change, or `None` if only an event can change
    /// one.
    fn next_wakeup(&self) -> Option<Micros> {
        let times = [
            self.next_queue_check(),
            self.next_routing_check(),
            self.polling.next_poll_at(),
            self.rejections.next(),
            self.key_sequences.next_check_at(),
            self.shutdown.next_check_at(),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns when to look again for a node for requests that have none.
    fn next_routing_check(&self) -> Option<Micros> {
        if self.unroutable.is_empty() {
            None
        } else {
            Some(self.now + RECHECK_INTERVAL)
        }
    }

    /// Returns the earliest time at which a queue must be checked again.
    fn next_queue_check(&self) -> Option<Micros> {
        let shards = self.queues.backlogged();
        shards.filter_map(|shard| self.recheck_at(shard)).min()
    }

    /// Returns when to check a queue again, or `None` if only a completed attempt or an update of
    /// the endpoint list can allow a dispatch.
    fn recheck_at(&self, shard: Shard) -> Option<Micros> {
        let node = self.nodes.node_of(shard)?;
        if node.is_at_max_in_flight() {
            return None;
        }
        let queue = &self.queues[shard];
        let may_dispatch_late = queue.has_late_requests() && node.is_idle_at_maximum_limit();
        if queue.has_on_time_requests() || may_dispatch_late {
            Some(node.paused_until().max(self.now + RECHECK_INTERVAL))
        } else {
            None
        }
    }
}
