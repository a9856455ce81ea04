//! Parser for the parameter list of a request, a comma-separated list of names and values such as
//! `c=read,t=gold,d=480,volume=00000000000000a1,shard=0`.

use super::error::RequestError;
use super::schema::RequestSchema;
use crate::hex_id::HexId;
use crate::number_text::parse_decimal;
use crate::resp_wire_names::parameter;

use deployment_settings::micros;
use io_scheduler::{ClassIndex, Micros, PlanIndex, Shard, Units, VolumeId};
use std::collections::HashSet;

/// Default size of a request.
const DEFAULT_UNITS: Units = Units(1.0);
/// Default number of gateways that receive requests for a volume.
const DEFAULT_HOST_COUNT: f64 = 1.0;

/// The parsed parameters of a request. Missing parameters without a default are `None`. Parameters
/// with unknown names are ignored.
pub(super) struct ParsedParameters<'a> {
    /// The class; `None` also if it is not defined in the settings.
    pub(super) class: Option<ClassIndex>,
    /// The plan; `None` also if it is not defined in the settings.
    pub(super) plan: Option<PlanIndex>,
    /// How long the client waits for the reply.
    pub(super) timeout: Option<ClientTimeout<'a>>,
    /// Id of the volume.
    pub(super) volume: Option<VolumeId>,
    /// The shard that stores the object.
    pub(super) shard: Option<ShardParameter>,
    /// Size of the request.
    pub(super) units: Units,
    /// Number of gateways that receive requests for the volume.
    pub(super) host_count: f64,
}

/// The shard parameter of a request.
#[derive(Clone, Copy)]
pub(super) enum ShardParameter {
    /// The object is new and has no shard yet, so any node may store it.
    Unassigned,
    /// The shard that stores the object.
    Assigned(Shard),
}

impl ShardParameter {
    /// Returns the shard, or `None` for a new object.
    pub(super) fn assigned_shard(self) -> Option<Shard> {
        match self {
            ShardParameter::Unassigned => None,
            ShardParameter::Assigned(shard) => Some(shard),
        }
    }
}

/// The client's timeout, with the text of the parameter list before and after its value. The
/// gateway forwards the list to the node, with this value replaced by the remaining time and the
/// rest unchanged.
pub(super) struct ClientTimeout<'a> {
    /// The timeout in milliseconds.
    milliseconds: f64,
    /// The part of the parameter list before the value.
    pub(super) text_before: &'a str,
    /// The part of the parameter list after the value.
    pub(super) text_after: &'a str,
}

impl ClientTimeout<'_> {
    /// Returns the timeout in microseconds, limited to `max_ms` milliseconds.
    pub(super) fn capped_micros(&self, max_ms: f64) -> Micros {
        micros(self.milliseconds.min(max_ms))
    }
}

impl Default for ParsedParameters<'_> {
    /// Returns the parameters of an empty list.
    fn default() -> Self {
        ParsedParameters {
            class: None,
            plan: None,
            timeout: None,
            volume: None,
            shard: None,
            units: DEFAULT_UNITS,
            host_count: DEFAULT_HOST_COUNT,
        }
    }
}

impl<'a> ParsedParameters<'a> {
    /// Parses a parameter list. `schema` defines the class and plan names and the limits on values.
    pub(super) fn parse(
        list: &'a str,
        schema: &RequestSchema,
    ) -> Result<ParsedParameters<'a>, RequestError> {
        let mut parsed = ParsedParameters::default();
        let mut seen_names = HashSet::new();
        let mut start = 0;
        for text in list.split(',') {
            let parameter = Parameter::parse(list, start, text)?;
            if !seen_names.insert(parameter.name) {
                return Err(RequestError::DuplicateParameter(parameter.name.to_owned()));
            }
            parsed.set(&parameter, schema)?;
            start += text.len() + 1;
        }
        Ok(parsed)
    }

    /// Stores the value of `parameter` in its field.
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
                self.host_count = parameter
                    .positive_number()?
                    .clamp(1.0, schema.max_host_count);
            }
            // Unknown names are ignored, and so is the known name `r`, which marks a client's
            // retry: no decision depends on it.
            _ => {}
        }
        Ok(())
    }
}

/// One parameter of a parameter list.
struct Parameter<'a> {
    /// The whole parameter list.
    list: &'a str,
    /// The text before the first `=`.
    name: &'a str,
    /// The text after the first `=`.
    value: &'a str,
    /// Byte offset of the value in `list`.
    value_start: usize,
}

impl<'a> Parameter<'a> {
    /// Splits the parameter `text`, which starts at byte `start` of `list`, into name and value.
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

    /// Returns the error for an invalid value of this parameter.
    fn invalid_value(&self) -> RequestError {
        RequestError::InvalidParameterValue {
            name: self.name.to_owned(),
            value: self.value.to_owned(),
        }
    }

    /// Parses the value as a finite decimal number greater than zero, without a sign or an
    /// exponent.
    fn positive_number(&self) -> Result<f64, RequestError> {
        let is_plain_decimal = self
            .value
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match self.value.parse::<f64>() {
            Ok(number) if is_plain_decimal && number.is_finite() && number > 0.0 => Ok(number),
            _ => Err(self.invalid_value()),
        }
    }

    /// Parses the value as a timeout in milliseconds.
    fn timeout(&self) -> Result<ClientTimeout<'a>, RequestError> {
        let milliseconds = self.positive_number()?;
        let value_end = self.value_start + self.value.len();
        Ok(ClientTimeout {
            milliseconds,
            text_before: &self.list[..self.value_start],
            text_after: &self.list[value_end..],
        })
    }

    /// Parses the value as the id of a volume.
    fn volume(&self) -> Result<VolumeId, RequestError> {
        let HexId(id) = self.value.parse().map_err(|_| self.invalid_value())?;
        Ok(VolumeId(id))
    }

    /// Parses the value as a shard number, or as the value for a new object.
    fn shard(&self) -> Result<ShardParameter, RequestError> {
        if self.value == parameter::UNASSIGNED_SHARD {
            return Ok(ShardParameter::Unassigned);
        }
        let number = parse_decimal(self.value.as_bytes());
        let shard = number.map(Shard).ok_or_else(|| self.invalid_value())?;
        Ok(ShardParameter::Assigned(shard))
    }
}
