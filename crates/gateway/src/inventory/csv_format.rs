//! Inventories in CSV: a line of headings, then one line for each node.

use super::error::{InvalidVar, InventoryError, Location};
use super::node::InventoryNode;
use super::vars::{NodeError, VarName, Vars};
use csv::{ErrorKind, Position, ReaderBuilder, StringRecord, Trim};

/// Headings that are required; the other vars have defaults.
const REQUIRED_HEADINGS: [&str; 3] = ["name", "address", "shard"];

/// Parses an inventory in CSV. `file` is the file's name in errors.
///
/// # Errors
///
/// Fails if the text is not well-formed CSV, a required heading is missing, or a line does not
/// describe a node or repeats the name of an earlier one.
pub fn from_csv(text: &str, file: &str) -> Result<Vec<InventoryNode>, InventoryError> {
    let mut reader = ReaderBuilder::new()
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let headings = reader
        .headers()
        .cloned()
        .map_err(|source| csv_error(file, Location::Line(1), source))?;
    check_headings(&headings, file)?;
    let mut collector = NodeCollector {
        text,
        file,
        headings,
        nodes: Vec::new(),
    };
    for record in reader.records() {
        let record = record.map_err(|source| unreadable_record(file, source))?;
        collector.add(&record)?;
    }
    Ok(collector.nodes)
}

/// Collects the nodes of a file.
struct NodeCollector<'a> {
    /// The text of the file.
    text: &'a str,
    /// Name of the file, for errors.
    file: &'a str,
    /// The first line of the file.
    headings: StringRecord,
    /// The nodes of the lines so far.
    nodes: Vec<InventoryNode>,
}

impl NodeCollector<'_> {
    /// Adds the node of one line.
    fn add(&mut self, record: &StringRecord) -> Result<(), InventoryError> {
        let line = record
            .position()
            .map_or(0, |position| line_of(self.text, position.byte()));
        let vars = decode_record(record, &self.headings, line, self.file)?;
        let node = to_unique_node(&vars, &self.nodes).map_err(|error| {
            let field = error.var.to_string();
            InventoryError::InvalidVar {
                file: self.file.to_owned(),
                location: Location::Field { line, field },
                source: error.source,
            }
        })?;
        self.nodes.push(node);
        Ok(())
    }
}

/// The error for a line that the decoder cannot split into fields.
fn unreadable_record(file: &str, source: csv::Error) -> InventoryError {
    let line = source.position().map_or(0, Position::line);
    csv_error(file, Location::Line(line), source)
}

/// Wraps an error of the CSV decoder.
fn csv_error(file: &str, location: Location, source: csv::Error) -> InventoryError {
    InventoryError::Csv {
        file: file.to_owned(),
        location,
        source,
    }
}

/// Checks that every required heading is present.
fn check_headings(headings: &StringRecord, file: &str) -> Result<(), InventoryError> {
    for heading in REQUIRED_HEADINGS {
        if !headings.iter().any(|present| present == heading) {
            return Err(InventoryError::MissingHeading {
                file: file.to_owned(),
                heading,
            });
        }
    }
    Ok(())
}

/// Decodes the fields of one line.
fn decode_record(
    record: &StringRecord,
    headings: &StringRecord,
    line: u64,
    file: &str,
) -> Result<Vars, InventoryError> {
    record.deserialize(Some(headings)).map_err(|source| {
        let field = field_at_fault(&source, headings)
            .unwrap_or("row")
            .to_owned();
        csv_error(file, Location::Field { line, field }, source)
    })
}

/// Heading of the field that a decoder's error refers to, if it refers to a single field.
fn field_at_fault<'a>(error: &csv::Error, headings: &'a StringRecord) -> Option<&'a str> {
    let ErrorKind::Deserialize { err, .. } = error.kind() else {
        return None;
    };
    let index = usize::try_from(err.field()?).ok()?;
    headings.get(index)
}

/// The node that a line describes. Its name must differ from those of earlier nodes, as the name
/// identifies a node.
fn to_unique_node(vars: &Vars, earlier: &[InventoryNode]) -> Result<InventoryNode, NodeError> {
    let name = vars.name.as_deref().unwrap_or_default();
    if name.is_empty() {
        return Err(NodeError::not_set(VarName::Name));
    }
    if earlier.iter().any(|node| node.record.name == name) {
        return Err(NodeError {
            var: VarName::Name,
            source: InvalidVar::Duplicate(name.to_owned()),
        });
    }
    vars.to_node(name)
}

/// Number of the line with the first record at or after a byte offset. The decoder's own line
/// number does not serve, as it is that of the empty lines and comments that precede a record.
fn line_of(text: &str, byte: u64) -> u64 {
    let (before, rest) = text.split_at_checked(byte as usize).unwrap_or((text, ""));
    let skipped = rest
        .lines()
        .take_while(|line| line.trim().is_empty() || line.starts_with('#'))
        .count();
    let line = before.matches('\n').count() + 1 + skipped;
    line as u64
}
