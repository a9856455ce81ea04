//! Containers that contain no scheduling rules.

mod deadline_queue;
mod moving_fraction;
mod sliding_window;

pub use deadline_queue::TimeOrderedQueue;
pub use moving_fraction::MovingAverageFraction;
pub use sliding_window::SlidingWindow;
