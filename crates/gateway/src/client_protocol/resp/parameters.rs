//! Parsing of the parameters of a request: a list of names and values such as
//! `c=read,t=gold,d=480,volume=00000000000000a1,shard=0`.

use super::error::RequestError;
use super::schema::RequestSchema;
use crate::hex_id::HexId;
use crate::resp_wire_names::parameter;

use deployment_settings::micros;
use io_scheduler::{ClassIndex, Micros, PlanIndex, Shard, Units, VolumeId};

/// Size of a request if it is not stated.
const DEFAULT_UNITS: Units = Units(1.0);
/// Number of gateways for a volume if it is not stated.
const DEFAULT_HOSTS: f64 = 1.0;

/// The decoded parameters. Those without a default are `None` if they are missing; parameters with
/// unknown names are ignored.
pub(super) struct ParsedParameters<'a> {
    /// The class; `None` also if the settings have no such class.
    pub(super) class: Option<ClassIndex>,
    /// The plan; `None` also if the settings have no such plan.
    pub(super) plan: Option<PlanIndex>,
    /// How long the client waits for the reply.
    pub(super) timeout: Option<ClientTimeout<'a>>,
    /// Id of the volume.
    pub(super) volume: Option<VolumeId>,
    /// The shard that stores the object.
    pub(super) shard: Option<StatedShard>,
    /// Size of the request.
    pub(super) units: Units,
    /// Number of gateways through which the requests of the volume arrive.
    pub(super) hosts: f64,
}

/// The shard that a request states.
#[derive(Clone, Copy)]
pub(super) enum StatedShard {
    /// The object is new and has no shard yet, so any node may store it.
    Unassigned,
    /// The shard of the object.
    Assigned(Shard),
}

impl StatedShard {
    /// The shard, if the object has one.
    pub(super) fn shard(self) -> Option<Shard> {
        match self {
            StatedShard::Unassigned => None,
            StatedShard::Assigned(shard) => Some(shard),
        }
    }
}

/// The client's timeout, and the text of the list before and after its value. The gateway forwards
/// the list to the node unchanged, except that the time left replaces this value.
pub(super) struct ClientTimeout<'a> {
    /// The timeout in milliseconds.
    milliseconds: f64,
    /// The list up to the value.
    pub(super) text_before: &'a str,
    /// The list after the value.
    pub(super) text_after: &'a str,
}

impl ClientTimeout<'_> {
    /// The timeout in microseconds, at most `max_ms` milliseconds.
    pub(super) fn capped_micros(&self, max_ms: f64) -> Micros {
        micros(self.milliseconds.min(max_ms))
    }
}

impl Default for ParsedParameters<'_> {
    /// The parameters of an empty list.
    fn default() -> Self {
        ParsedParameters {
            class: None,
            plan: None,
            timeout: None,
            volume: None,
            shard: None,
            units: DEFAULT_UNITS,
            hosts: DEFAULT_HOSTS,
        }
    }
}

impl<'a> ParsedParameters<'a> {
    /// Decodes a list of parameters whose names and bounds are those of `schema`.
    pub(super) fn parse(
        list: &'a str,
        schema: &RequestSchema,
    ) -> Result<ParsedParameters<'a>, RequestError> {
        let mut parsed = ParsedParameters::default();
        let mut seen_names = Vec::new();
        let mut start = 0;
        for text in list.split(',') {
            let parameter = Parameter::parse(list, start, text)?;
            if seen_names.contains(&parameter.name) {
                return Err(RequestError::DuplicateParameter(parameter.name.to_owned()));
            }
            seen_names.push(parameter.name);
            parsed.set(&parameter, schema)?;
            start += text.len() + 1;
        }
        Ok(parsed)
    }

    /// Sets the field that a parameter states.
    fn set(
        &mut self,
        parameter: &Parameter<'a>,
        schema: &RequestSchema,
    ) -> Result<(), RequestError> {
        let value = parameter.value;
        match parameter.name {
            parameter::CLASS => self.class = schema.class_index(value),
            parameter::PLAN => self.plan = schema.plan_index(value),
            parameter::TIMEOUT => self.timeout = Some(parameter.timeout()?),
            parameter::VOLUME => self.volume = Some(parameter.volume()?),
            parameter::UNITS => {
                let units = Units(parameter.positive_number()?);
                self.units = units.min(schema.max_units);
            }
            parameter::SHARD => self.shard = Some(parameter.shard()?),
            parameter::HOSTS => {
                self.hosts = parameter.positive_number()?.clamp(1.0, schema.max_hosts);
            }
            // The mark of a client's retry is one of these: no decision depends on it.
            _ => {}
        }
        Ok(())
    }
}

/// One parameter of a list.
struct Parameter<'a> {
    /// The list that contains it.
    list: &'a str,
    /// The text before the first `=`.
    name: &'a str,
    /// The text after it.
    value: &'a str,
    /// Where the value starts in the list, in bytes.
    value_start: usize,
}

impl<'a> Parameter<'a> {
    /// Splits the parameter `text`, which starts at byte `start` of its list.
    fn parse(list: &'a str, start: usize, text: &'a str) -> Result<Parameter<'a>, RequestError> {
        let Some((name, value)) = text.split_once('=') else {
            return Err(RequestError::ParameterWithoutValue(text.to_owned()));
        };
        Ok(Parameter {
            list,
            name,
            value,
            value_start: start + name.len() + 1,
        })
    }

    /// The error for a value that is not valid for this name.
    fn invalid_value(&self) -> RequestError {
        RequestError::InvalidParameterValue {
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

    /// The value as a timeout.
    fn timeout(&self) -> Result<ClientTimeout<'a>, RequestError> {
        let milliseconds = self.positive_number()?;
        let value_end = self.value_start + self.value.len();
        Ok(ClientTimeout {
            milliseconds,
            text_before: &self.list[..self.value_start],
            text_after: &self.list[value_end..],
        })
    }

    /// The value as the id of a volume.
    fn volume(&self) -> Result<VolumeId, RequestError> {
        let HexId(id) = self.value.parse().map_err(|_| self.invalid_value())?;
        Ok(VolumeId(id))
    }

    /// The value as a shard.
    fn shard(&self) -> Result<StatedShard, RequestError> {
        if self.value == parameter::UNASSIGNED_SHARD {
            return Ok(StatedShard::Unassigned);
        }
        let number = self.value.parse().map_err(|_| self.invalid_value())?;
        Ok(StatedShard::Assigned(Shard(number)))
    }
}
