//! Inventories in YAML, in the structure of an Ansible inventory: groups with `hosts`, `vars` and
//! `children`.

use super::error::{InventoryError, Location};
use super::node::InventoryNode;
use super::vars::Vars;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Deepest accepted nesting of groups, which bounds the recursion.
const MAX_DEPTH: usize = 16;

/// A group of hosts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Group {
    /// Hosts by name, with their own vars.
    hosts: Option<BTreeMap<String, Option<Vars>>>,
    /// Vars that apply to every host of the group and of its subgroups.
    vars: Option<Vars>,
    /// Subgroups by name.
    children: Option<BTreeMap<String, Option<Group>>>,
}

/// A host, with the vars from all groups that list it.
#[derive(Debug, Default)]
struct Host {
    /// Path of the key where the host was first listed.
    path: String,
    /// Its vars, merged from all groups.
    vars: Vars,
}

/// Collects the hosts of nested groups.
#[derive(Debug)]
struct HostCollector<'a> {
    /// Name of the file, for errors.
    file: &'a str,
    /// Hosts collected so far, by name.
    hosts: BTreeMap<String, Host>,
}

/// Parses an inventory in YAML. `file` is the file's name in errors.
///
/// # Errors
///
/// Fails if the text is not well-formed YAML, groups are nested too deeply, or the vars of a host
/// do not describe a node.
pub fn from_yaml(text: &str, file: &str) -> Result<Vec<InventoryNode>, InventoryError> {
    let groups = decode(text, file)?;
    let mut collector = HostCollector {
        file,
        hosts: BTreeMap::new(),
    };
    for (name, group) in &groups {
        collector.collect(name, group.as_ref(), &Vars::default(), 0)?;
    }
    collector.into_nodes()
}

/// Decodes the groups at the top of the document.
fn decode(text: &str, file: &str) -> Result<BTreeMap<String, Option<Group>>, InventoryError> {
    serde_saphyr::from_str(text).map_err(|source| {
        let location = match source.location() {
            Some(location) => Location::Line(location.line()),
            None => Location::Document,
        };
        InventoryError::Yaml {
            file: file.to_owned(),
            location,
            source: Box::new(source),
        }
    })
}

impl HostCollector<'_> {
    /// Collects the hosts of a group and of its subgroups. `inherited` holds the vars of the
    /// groups that contain it.
    fn collect(
        &mut self,
        path: &str,
        group: Option<&Group>,
        inherited: &Vars,
        depth: usize,
    ) -> Result<(), InventoryError> {
        let Some(group) = group else { return Ok(()) };
        if depth > MAX_DEPTH {
            return Err(InventoryError::NestedTooDeeply {
                file: self.file.to_owned(),
                group: path.to_owned(),
            });
        }
        let group_vars = with_inherited(group.vars.as_ref(), inherited);
        for (name, host_vars) in group.hosts.iter().flatten() {
            self.add_host(path, name, host_vars.as_ref(), &group_vars);
        }
        for (name, child) in group.children.iter().flatten() {
            let child_path = format!("{path}.children.{name}");
            self.collect(&child_path, child.as_ref(), &group_vars, depth + 1)?;
        }
        Ok(())
    }

    /// Adds a host of a group. If several groups list the host, their vars are merged, and the
    /// group that comes last takes precedence.
    fn add_host(
        &mut self,
        group_path: &str,
        name: &str,
        host_vars: Option<&Vars>,
        group_vars: &Vars,
    ) {
        let vars = with_inherited(host_vars, group_vars);
        let host = self.hosts.entry(name.to_owned()).or_insert_with(|| Host {
            path: format!("{group_path}.hosts.{name}"),
            vars: Vars::default(),
        });
        host.vars = vars.with_defaults(&host.vars);
    }

    /// Converts the hosts to nodes, in the order of their names.
    fn into_nodes(self) -> Result<Vec<InventoryNode>, InventoryError> {
        let mut nodes = Vec::with_capacity(self.hosts.len());
        for (name, host) in &self.hosts {
            let node = host
                .vars
                .to_node(name)
                .map_err(|error| InventoryError::InvalidVar {
                    file: self.file.to_owned(),
                    location: Location::Key(format!("{}.{}", host.path, error.var)),
                    source: error.source,
                })?;
            nodes.push(node);
        }
        Ok(nodes)
    }
}

/// The vars of a host or group: its own, if it has any, and those that it inherits.
fn with_inherited(own: Option<&Vars>, inherited: &Vars) -> Vars {
    match own {
        Some(own) => own.with_defaults(inherited),
        None => inherited.clone(),
    }
}
