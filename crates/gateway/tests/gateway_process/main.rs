//! Integration tests: run the gateway program as a child process and talk to it over TCP sockets.

mod harness;
mod races;
mod scenario_runner;
mod scenarios;
