//! Parses inventories in CSV: a header line, then one line for each node. Lines that begin with `#`
//! are comments.

use super::error::{InvalidVar, InventoryError, Location};
use super::node::InventoryNode;
use super::vars::{NodeError, VarName, Vars};
use csv::{ErrorKind, Position, ReaderBuilder, StringRecord, Trim};

/// Headings of the columns that are required. The other vars have defaults.
const REQUIRED_HEADINGS: [&str; 3] = ["name", "address", "shard"];

/// Parses an inventory in CSV. `file` is the path of the file, for errors.
///
/// # Errors
///
/// Returns an error if the text is not well-formed CSV, a required column is missing, a line does
/// not describe a valid node, or two nodes have the same name.
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
        let record = record.map_err(|source| malformed_record(file, source))?;
        collector.add(&record)?;
    }
    Ok(collector.nodes)
}

/// Converts the lines of a file to nodes and collects them.
struct NodeCollector<'a> {
    /// Content of the file.
    text: &'a str,
    /// Path of the file, for errors.
    file: &'a str,
    /// The header line of the file.
    headings: StringRecord,
    /// The nodes of the lines that have been added.
    nodes: Vec<InventoryNode>,
}

impl NodeCollector<'_> {
    /// Adds the node that a line describes.
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

/// Creates the error for a line that the CSV reader cannot split into fields, or that has the wrong
/// number of fields.
fn malformed_record(file: &str, source: csv::Error) -> InventoryError {
    let line = source.position().map_or(0, Position::line);
    csv_error(file, Location::Line(line), source)
}

/// Adds the file and the location to an error of the CSV reader.
fn csv_error(file: &str, location: Location, source: csv::Error) -> InventoryError {
    InventoryError::Csv {
        file: file.to_owned(),
        location,
        source,
    }
}

/// Checks that the header line contains every required column.
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

/// Decodes the fields of a line. `line` and `file` are for errors.
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

/// Returns the heading of the field that a decoding error is about, if it is about a single field.
fn field_at_fault<'a>(error: &csv::Error, headings: &'a StringRecord) -> Option<&'a str> {
    let ErrorKind::Deserialize { err, .. } = error.kind() else {
        return None;
    };
    let index = usize::try_from(err.field()?).ok()?;
    headings.get(index)
}

/// Converts the vars of a line to a node. The name identifies a node, so it must differ from the
/// names of all earlier nodes.
fn to_unique_node(vars: &Vars, earlier: &[InventoryNode]) -> Result<InventoryNode, NodeError> {
    let name = vars.name.as_deref().unwrap_or_default();
    if name.is_empty() {
        return Err(NodeError::not_set(VarName::Name));
    }
    if earlier.iter().any(|node| node.record.name == name) {
        return Err(NodeError {
            var: VarName::Name,
            source: InvalidVar::DuplicateName(name.to_owned()),
        });
    }
    vars.to_node(name)
}

/// Returns the line number of the first record at or after a byte offset. The CSV reader's own line
/// number cannot be used: if empty lines or comments precede a record, it refers to them and not to
/// the record.
fn line_of(text: &str, byte: u64) -> u64 {
    let (before, rest) = text.split_at_checked(byte as usize).unwrap_or((text, ""));
    let skipped = rest
        .lines()
        .take_while(|line| line.trim().is_empty() || line.starts_with('#'))
        .count();
    let line = before.matches('\n').count() + 1 + skipped;
    line as u64
}
