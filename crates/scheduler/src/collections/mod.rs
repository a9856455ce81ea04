//! Generic containers, without scheduling rules.

mod moving_average_fraction;
mod sliding_window;
mod time_ordered_queue;

pub use moving_average_fraction::MovingAverageFraction;
pub use sliding_window::SlidingWindow;
pub use time_ordered_queue::TimeOrderedQueue;
