//! Tests of the dispatcher with a virtual clock and no I/O.

mod attempts;
mod bounded_state;
mod client_request_ids;
mod drains;
mod harness;
mod random_load;
mod slow_start;
