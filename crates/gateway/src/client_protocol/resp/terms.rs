//! The terms of a request: a list such as `c=read,t=gold,d=480,volume=...,shard=0`.

use super::names::RequestNames;
use super::request::{parse_hex, RequestError};
use deployment_settings::micros;
use io_scheduler::Micros;

/// The decoded terms. Fields are `None` if their term is missing; names that are not known are ignored.
pub(super) struct RequestTerms<'a> {
    /// `c`: the index of the class; `None` also if the settings have no such class.
    pub(super) class: Option<usize>,
    /// `t`: the index of the plan; `None` also if the settings have no such plan.
    pub(super) plan: Option<usize>,
    /// `d`: how long the client waits.
    pub(super) wait: Option<ClientWait<'a>>,
    /// `volume`: the id of the volume.
    pub(super) volume: Option<u64>,
    /// `shard`: where the data is.
    pub(super) shard: Option<ShardTerm>,
    /// `units`: the size of the request in units, 1 if not stated.
    pub(super) units: f64,
    /// `hosts`: the number of gateways through which the requests of the volume arrive, 1 if not stated.
    pub(super) hosts: f64,
    /// `r`: whether the client repeats an earlier request.
    pub(super) is_retry: bool,
}

/// The shard that a request states.
#[derive(Clone, Copy)]
pub(super) enum ShardTerm {
    /// None yet, stated as -1: any node may take the new object.
    Unassigned,
    /// The shard of this number.
    Number(u64),
}

impl ShardTerm {
    /// The shard's number, if one is stated.
    pub(super) fn number(self) -> Option<u64> {
        match self {
            ShardTerm::Unassigned => None,
            ShardTerm::Number(number) => Some(number),
        }
    }
}

/// The waiting time that a request states, and the terms around it: they are forwarded unchanged, with the
/// time left in its place.
pub(super) struct ClientWait<'a> {
    /// The stated time in milliseconds.
    milliseconds: f64,
    /// The text before the value.
    pub(super) prefix: &'a str,
    /// The text after the value.
    pub(super) suffix: &'a str,
}

impl ClientWait<'_> {
    /// The waiting time in microseconds, at most `max_wait_ms` milliseconds.
    pub(super) fn capped_micros(&self, max_wait_ms: f64) -> Micros {
        micros(self.milliseconds.min(max_wait_ms))
    }
}

/// One term of the list.
struct Term<'a> {
    name: &'a str,
    value: &'a str,
    /// Where the value starts in the list, in bytes.
    value_start: usize,
}

impl<'a> RequestTerms<'a> {
    /// Decodes the list `text`, with names and bounds of the settings.
    pub(super) fn parse(text: &'a str, names: &RequestNames) -> Result<RequestTerms<'a>, RequestError> {
        let mut terms = RequestTerms {
            class: None,
            plan: None,
            wait: None,
            volume: None,
            shard: None,
            units: 1.0,
            hosts: 1.0,
            is_retry: false,
        };
        let mut seen_names = Vec::new();
        let mut term_start = 0;
        for term_text in text.split(',') {
            let term = Term::parse(term_text, term_start)?;
            if seen_names.contains(&term.name) {
                return Err(RequestError::DuplicateTerm(term.name.to_owned()));
            }
            seen_names.push(term.name);
            terms.apply(&term, text, names)?;
            term_start += term_text.len() + 1;
        }
        Ok(terms)
    }

    /// Takes over one term of the list `text`.
    fn apply(&mut self, term: &Term<'a>, text: &'a str, names: &RequestNames) -> Result<(), RequestError> {
        match term.name {
            "c" => self.class = names.class_index(term.value),
            "t" => self.plan = names.plan_index(term.value),
            "d" => self.wait = Some(term.client_wait(text)?),
            "volume" => self.volume = Some(parse_hex(term.value).ok_or_else(|| term.invalid_value())?),
            "units" => self.units = term.positive_number()?.min(names.max_units),
            "shard" => self.shard = Some(term.shard()?),
            "hosts" => self.hosts = term.positive_number()?.clamp(1.0, names.max_hosts),
            "r" => self.is_retry = term.value == "1",
            _ => {}
        }
        Ok(())
    }
}

impl<'a> Term<'a> {
    /// Splits a term that starts at byte `start` of its list.
    fn parse(text: &'a str, start: usize) -> Result<Term<'a>, RequestError> {
        let Some((name, value)) = text.split_once('=') else {
            return Err(RequestError::TermWithoutValue(text.to_owned()));
        };
        Ok(Term { name, value, value_start: start + name.len() + 1 })
    }

    /// The error for a value that its name does not allow.
    fn invalid_value(&self) -> RequestError {
        RequestError::InvalidTermValue { name: self.name.to_owned(), value: self.value.to_owned() }
    }

    /// The value as a finite number above zero, in digits with at most one point.
    fn positive_number(&self) -> Result<f64, RequestError> {
        let is_plain = self.value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match self.value.parse::<f64>() {
            Ok(number) if is_plain && number.is_finite() && number > 0.0 => Ok(number),
            _ => Err(self.invalid_value()),
        }
    }

    /// The value as a waiting time; `list` is the text that contains the term.
    fn client_wait(&self, list: &'a str) -> Result<ClientWait<'a>, RequestError> {
        let milliseconds = self.positive_number()?;
        let value_end = self.value_start + self.value.len();
        Ok(ClientWait { milliseconds, prefix: &list[..self.value_start], suffix: &list[value_end..] })
    }

    /// The value as a shard.
    fn shard(&self) -> Result<ShardTerm, RequestError> {
        if self.value == "-1" {
            return Ok(ShardTerm::Unassigned);
        }
        self.value.parse().map(ShardTerm::Number).map_err(|_| self.invalid_value())
    }
}
