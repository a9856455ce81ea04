//! Tags of a request: its position, in seconds, on one virtual clock for each rate of its volume.
//!
//! The tags are computed from the tags of the previous request in the flow, the service rho and
//! delta since that request (in units), the rates of the volume (in units per second) and the time
//! at which the request was queued. A tag advances by service divided by rate. It is never earlier
//! than the time at which the request was queued, so that a volume gains no priority over others by
//! having been idle. Only the share tag may be earlier, by the volume's idle credit.
//!
//! Besides the tags of dmClock, a request has a nominal tag, which advances at the provisioned rate
//! of the volume. If it is ahead of the current time, the volume uses more than it is provisioned
//! for.

use crate::api::{Units, UnitsPerSecond};
use crate::time::Seconds;
use crate::volume::Volume;

/// Lower bound of the weight, which is a divisor in the share tag.
const MIN_WEIGHT: f64 = 1e-9;

/// The dmClock tags of a request.
#[derive(Clone, Copy)]
pub struct Tags {
    /// Reservation tag: advances by rho divided by the reserved rate.
    pub reservation: Seconds,
    /// Limit tag: advances by delta divided by this host's part of the limit.
    pub limit: Seconds,
    /// Share tag: advances by delta divided by the weight. Compared with the share tags of other
    /// volumes.
    pub share: Seconds,
    /// Nominal tag, which dmClock does not have: advances by delta divided by the provisioned rate,
    /// or by this host's part of that rate ([`Volume::nominal_tag_rate`]). It is ahead of the
    /// current time while the volume uses more than it is provisioned for.
    pub nominal: Seconds,
}

/// Service by which the tags of a request advance: dmClock's rho and delta.
#[derive(Clone, Copy)]
pub struct ServiceCount {
    /// Service counted by the reservation tag. In dmClock, this is the service of the
    /// constraint-based phase since the volume's last request here. Nodes report service without
    /// its phase, so rho is estimated as all service since then, but no more than the reserved rate
    /// provides in that time, and at least the request's own units.
    pub rho: Units,
    /// Service counted by the other tags: all service since the volume's last request here, and at
    /// least the request's own units.
    pub delta: Units,
}

impl Tags {
    /// Tags earlier than all others, for a flow from which nothing was dispatched yet.
    pub const MIN: Tags = Tags {
        reservation: Seconds::MIN,
        limit: Seconds::MIN,
        share: Seconds::MIN,
        nominal: Seconds::MIN,
    };

    /// Returns the tags of the next request of the flow, which was queued at `queued_at`.
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
        let advanced = tags.nominal + service.delta / volume.nominal_tag_rate();
        tags.nominal = advanced.max(queued_at);
        // The weight is the rate of the share tag's virtual clock.
        let weight = UnitsPerSecond(plan.weight.max(MIN_WEIGHT));
        let earliest_share_tag = queued_at - volume.idle_credit() / weight + share_tag_offset;
        let advanced = tags.share + service.delta / weight;
        tags.share = advanced.max(earliest_share_tag);
        tags
    }
}
