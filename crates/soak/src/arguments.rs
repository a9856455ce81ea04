//! The command line.

use crate::plan::{FaultClass, Scenario};
use clap::Parser;
use std::path::PathBuf;
use std::str::FromStr;

/// A range of seeds, `N` or `FIRST..LAST`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The last seed.
    pub last: u64,
}

/// The text is no range of seeds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a seed or FIRST..LAST, found '{0}'")]
pub struct SeedRangeError(String);

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let error = || SeedRangeError(text.to_owned());
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let first = first.parse().map_err(|_| error())?;
        let last = last.parse().map_err(|_| error())?;
        if first > last {
            return Err(error());
        }
        Ok(SeedRange { first, last })
    }
}

/// Runs storage gateways under seeded faults and judges them by the records of their peers.
#[derive(Clone, Debug, Parser)]
#[command(name = "gateway-soak")]
pub struct Arguments {
    /// Seeds to run: N or FIRST..LAST.
    #[arg(long, default_value = "1..5")]
    pub seeds: SeedRange,
    /// The scenario; without it, the seed chooses one.
    #[arg(long, value_enum)]
    pub scenario: Option<Scenario>,
    /// Classes of faults to leave out.
    #[arg(long, value_enum, value_delimiter = ',')]
    pub without: Vec<FaultClass>,
    /// Start no further seed after this many seconds.
    #[arg(long)]
    pub time_limit: Option<u64>,
    /// How many seeds run at the same time.
    #[arg(long, default_value_t = 2)]
    pub parallel: usize,
    /// The gateway program.
    #[arg(long, default_value = "target/release/storage-gateway")]
    pub gateway: PathBuf,
    /// Write the results as JSON to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write the gateways' logs to this folder.
    #[arg(long)]
    pub logs: Option<PathBuf>,
}
