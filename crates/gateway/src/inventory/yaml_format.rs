//! Parses inventories in YAML with the structure of an Ansible inventory: groups with `hosts`,
//! `vars` and `children`.

use super::error::{InventoryError, Location};
use super::node::InventoryNode;
use super::vars::Vars;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Maximum number of groups that may contain a group. It bounds the recursion.
const MAX_DEPTH: usize = 16;

/// A group of hosts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Group {
    /// Hosts of the group by name, with the vars that are set on the host.
    hosts: Option<BTreeMap<String, Option<Vars>>>,
    /// Vars that apply to every host of the group and of its subgroups.
    vars: Option<Vars>,
    /// Subgroups by name.
    children: Option<BTreeMap<String, Option<Group>>>,
}

/// A host, with its own vars and those of all groups that list it.
#[derive(Debug, Default)]
struct Host {
    /// Path of the key where the host was first listed.
    path: String,
    /// The vars of the host, merged over all groups that list it.
    vars: Vars,
}

/// Collects the hosts of all groups and merges their vars.
#[derive(Debug)]
struct HostCollector<'a> {
    /// Path of the file, for errors.
    file: &'a str,
    /// The hosts of the groups that have been visited, by name.
    hosts: BTreeMap<String, Host>,
}

/// Parses an inventory in YAML. `file` is the path of the file, for errors.
///
/// # Errors
///
/// Returns an error if the text is not well-formed YAML, a group is nested too deeply, or the vars
/// of a host do not describe a valid node.
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

/// Decodes the top-level groups of the document.
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
    /// Collects the hosts of a group and of its subgroups. `path` is the path of the group's key,
    /// `inherited` has the vars of the groups that contain it, and `depth` is their number.
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
                max_depth: MAX_DEPTH,
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

    /// Adds a host of a group. If several groups list the host, its vars are merged, and those from
    /// the group that is visited last take precedence.
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

    /// Converts the hosts to nodes, sorted by name.
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

/// Returns the vars that apply to a host or group: its own, if there are any, and the inherited
/// ones that it does not set itself.
fn with_inherited(own: Option<&Vars>, inherited: &Vars) -> Vars {
    match own {
        Some(own) => own.with_defaults(inherited),
        None => inherited.clone(),
    }
}
