//! Containers that contain no scheduling rules.

mod deadline_queue;
mod moving_fraction;
mod sliding_window;

pub use deadline_queue::DeadlineQueue;
pub use moving_fraction::MovingFraction;
pub use sliding_window::SlidingWindow;
