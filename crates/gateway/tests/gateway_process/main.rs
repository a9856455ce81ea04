//! Tests of the program as a child process, on real sockets.

mod harness;
mod races;
mod scenario_runner;
mod scenarios;
