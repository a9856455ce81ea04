//! The tags of a request: its position on a virtual clock for each rate of its volume, in seconds.
//!
//! Inputs: the tags of the request before it in its flow, the service rho and delta since then (in
//! units), the volume's rates (units a second) and the time at which it was queued. A tag advances
//! by service over rate, and does not fall behind the time at which the request was queued, so that
//! a volume saves up no service while it is idle. The share tag may lie behind it by the volume's
//! idle credit.

use crate::api::{Units, UnitsPerSecond};
use crate::time::Seconds;
use crate::volume::Volume;

/// Lower bound of a weight, which divides service in the share tag.
const MIN_WEIGHT: f64 = 1e-9;

/// The dmClock tags of a request.
#[derive(Clone, Copy)]
pub struct Tags {
    /// Reservation tag: advances by rho over the reserved rate.
    pub reservation: Seconds,
    /// Limit tag: advances by delta over this host's part of the limit.
    pub limit: Seconds,
    /// Share tag: advances by delta over the weight; compared with those of other volumes.
    pub share: Seconds,
    /// Nominal tag, an addition to dmClock's three: advances by delta over the provisioned rate. It
    /// lies ahead of the time while the volume uses more than it is provisioned for.
    pub nominal: Seconds,
}

/// Service by which the tags of a request advance: dmClock's rho and delta.
#[derive(Clone, Copy)]
pub struct ServiceCount {
    /// Counts for the reservation tag. In dmClock this is the service of the constraint-based phase
    /// since the volume's last request here. Nodes report service without its phase, so it is
    /// estimated: all service, but no more than the reserved rate gave in that time, and at least
    /// the request's own units.
    pub rho: Units,
    /// Counts for the other tags: all service since the volume's last request here, and at least
    /// the request's own units.
    pub delta: Units,
}

impl Tags {
    /// Tags before all others, for a flow without any dispatch yet.
    pub const MIN: Tags = Tags {
        reservation: Seconds::MIN,
        limit: Seconds::MIN,
        share: Seconds::MIN,
        nominal: Seconds::MIN,
    };

    /// Tags of the next request of the flow, which was queued at `queued_at`.
    pub fn next(
        self,
        service: ServiceCount,
        queued_at: Seconds,
        volume: &Volume,
        share_tag_offset: Seconds,
    ) -> Tags {
        let mut tags = self;
        let plan = volume.plan();
        if plan.reservation.is_positive() {
            let advanced = tags.reservation + service.rho / plan.reservation;
            tags.reservation = advanced.max(queued_at);
        }
        if plan.limit.is_positive() {
            let advanced = tags.limit + service.delta / volume.limit_per_host();
            tags.limit = advanced.max(queued_at);
        }
        let advanced = tags.nominal + service.delta / volume.nominal_rate();
        tags.nominal = advanced.max(queued_at);
        // A weight is the rate of the share tag's virtual clock.
        let weight = UnitsPerSecond(plan.weight.max(MIN_WEIGHT));
        let earliest_share_tag = queued_at - volume.idle_credit() / weight + share_tag_offset;
        let advanced = tags.share + service.delta / weight;
        tags.share = advanced.max(earliest_share_tag);
        tags
    }
}
