//! Parsing of the terms of a request: a list of names and values such as
//! `c=read,t=gold,d=480,volume=00000000000000a1,shard=0`.

use super::names::RequestNames;
use super::request::RequestError;
use crate::hex_id::HexId;
use deployment_settings::micros;
use io_scheduler::Micros;

/// The decoded terms. A field is `None` if its term is missing; terms with unknown names are ignored.
pub(super) struct RequestTerms<'a> {
    /// `c`: the index of the class; `None` also if the settings have no such class.
    pub(super) class: Option<usize>,
    /// `t`: the index of the plan; `None` also if the settings have no such plan.
    pub(super) plan: Option<usize>,
    /// `d`: how long the client waits for the reply.
    pub(super) wait: Option<ClientWait<'a>>,
    /// `volume`: the id of the volume.
    pub(super) volume: Option<u64>,
    /// `shard`: the shard that stores the object.
    pub(super) shard: Option<ShardTerm>,
    /// `units`: the size of the request in units; 1 if not stated.
    pub(super) units: f64,
    /// `hosts`: the number of gateways through which the requests of the volume arrive; 1 if not stated.
    pub(super) hosts: f64,
    /// `r`: whether the request is a client's retry of an earlier one.
    pub(super) is_retry: bool,
}

/// The value of the term `shard`.
#[derive(Clone, Copy)]
pub(super) enum ShardTerm {
    /// -1: the object is new and has no shard yet, so any node may store it.
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

/// The value of the term `d`, and the text before and after it. The gateway forwards the list of terms to the
/// node unchanged, except that the time left replaces this value.
pub(super) struct ClientWait<'a> {
    /// The waiting time in milliseconds.
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
    /// The text before the first `=`.
    name: &'a str,
    /// The text after it.
    value: &'a str,
    /// Where the value starts in the list, in bytes.
    value_start: usize,
}

impl<'a> RequestTerms<'a> {
    /// Decodes the list `text`; `names` holds the names and bounds of the settings.
    pub(super) fn parse(
        text: &'a str,
        names: &RequestNames,
    ) -> Result<RequestTerms<'a>, RequestError> {
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

    /// Sets the field that one term of the list `text` states.
    fn apply(
        &mut self,
        term: &Term<'a>,
        text: &'a str,
        names: &RequestNames,
    ) -> Result<(), RequestError> {
        match term.name {
            "c" => self.class = names.class_index(term.value),
            "t" => self.plan = names.plan_index(term.value),
            "d" => self.wait = Some(term.client_wait(text)?),
            "volume" => self.volume = Some(term.hex_id()?),
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
        Ok(Term {
            name,
            value,
            value_start: start + name.len() + 1,
        })
    }

    /// The error for a value that is not valid for this name.
    fn invalid_value(&self) -> RequestError {
        RequestError::InvalidTermValue {
            name: self.name.to_owned(),
            value: self.value.to_owned(),
        }
    }

    /// The value as a finite decimal number above zero, without a sign or an exponent.
    fn positive_number(&self) -> Result<f64, RequestError> {
        let is_plain = self
            .value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match self.value.parse::<f64>() {
            Ok(number) if is_plain && number.is_finite() && number > 0.0 => Ok(number),
            _ => Err(self.invalid_value()),
        }
    }

    /// The value as a waiting time; `list` is the text that contains the term.
    fn client_wait(&self, list: &'a str) -> Result<ClientWait<'a>, RequestError> {
        let milliseconds = self.positive_number()?;
        let value_end = self.value_start + self.value.len();
        Ok(ClientWait {
            milliseconds,
            prefix: &list[..self.value_start],
            suffix: &list[value_end..],
        })
    }

    /// The value as an id.
    fn hex_id(&self) -> Result<u64, RequestError> {
        let HexId(id) = self.value.parse().map_err(|_| self.invalid_value())?;
        Ok(id)
    }

    /// The value as a shard.
    fn shard(&self) -> Result<ShardTerm, RequestError> {
        if self.value == "-1" {
            return Ok(ShardTerm::Unassigned);
        }
        self.value
            .parse()
            .map(ShardTerm::Number)
            .map_err(|_| self.invalid_value())
    }
}
