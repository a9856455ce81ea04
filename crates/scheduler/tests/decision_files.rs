//! Which files hold decisions, and their size: `policy` in the deploy file names every one of them,
//! and each can be read in one sitting.

use std::path::{Path, PathBuf};

/// Longest decision file, in lines that are not blank.
const MAX_FILE_LINES: usize = 250;
/// Longest function of a decision file, from its signature to its closing brace, in lines that are
/// not blank.
const MAX_FUNCTION_LINES: usize = 30;
/// Widest line, in characters; comments are lines, too.
const MAX_LINE_WIDTH: usize = 100;
/// Files and folders below `src` without any decision: the interface, containers, a hash, units of
/// time, and the overview of the crate.
const WITHOUT_DECISIONS: [&str; 5] = ["api/", "collections/", "hash.rs", "lib.rs", "time.rs"];
/// What a rule is made of. Files without decisions have neither.
const CONSTANT_PREFIXES: [&str; 3] = ["const ", "pub const ", "pub(crate) const "];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the root of the repository")
}

/// The strings of the array `policy = [...]` of the deploy file; comments are left out.
fn policy_files() -> Vec<String> {
    let deploy = read("deploy/balancer.toml");
    let uncommented: Vec<&str> = deploy
        .lines()
        .map(|line| line.split('#').next().unwrap_or(""))
        .collect();
    let text = uncommented.join("\n");
    let (_, value) = text
        .split_once("\npolicy = [")
        .expect("the deploy file has the key `policy`");
    let (array, _) = value.split_once(']').expect("the array is closed");
    array
        .split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn read(file: &str) -> String {
    std::fs::read_to_string(repository_root().join(file))
        .unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// All Rust source files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Paths of the crate's source files, relative to the root of the repository, and relative to
/// `src`.
fn sources() -> Vec<(String, String)> {
    let root = repository_root();
    let folder = root.join("crates/scheduler/src");
    let mut sources = Vec::new();
    for path in source_files(&folder) {
        let below_root = path.strip_prefix(&root).expect("a file of the repository");
        let below_sources = path.strip_prefix(&folder).expect("a file of the crate");
        sources.push((
            below_root.display().to_string(),
            below_sources.display().to_string(),
        ));
    }
    assert!(sources.len() > WITHOUT_DECISIONS.len());
    sources
}

fn is_without_decisions(file: &str) -> bool {
    WITHOUT_DECISIONS
        .iter()
        .any(|exempt| file == *exempt || (exempt.ends_with('/') && file.starts_with(exempt)))
}

fn lines_not_blank(text: &str) -> usize {
    text.lines().filter(|line| !line.trim().is_empty()).count()
}

/// Name and length of each function of a source file that the formatter has laid out: a function
/// ends at the first brace with the indentation of its signature.
fn function_lengths(text: &str) -> Vec<(String, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut functions = Vec::new();
    for (start, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        let is_function = ["fn ", "pub fn ", "pub(super) fn ", "pub(crate) fn "]
            .iter()
            .any(|prefix| code.starts_with(prefix));
        if !is_function {
            continue;
        }
        let indentation = &line[..line.len() - code.len()];
        let end = format!("{indentation}}}");
        let declaration_end = format!("{indentation}    ;");
        let body = lines[start..]
            .iter()
            .take_while(|line| **line != end && **line != declaration_end)
            .filter(|line| !line.trim().is_empty())
            .count();
        let is_one_line = code.ends_with('}') || code.ends_with(';');
        let length = if is_one_line { 1 } else { body + 1 };
        functions.push((code.to_owned(), length));
    }
    functions
}

#[test]
fn every_file_with_decisions_is_in_policy() {
    let policy = policy_files();
    for (file, below_sources) in sources() {
        assert_eq!(
            policy.contains(&file),
            !is_without_decisions(&below_sources),
            "{file}: `policy` names it if and only if it decides"
        );
    }
    for file in &policy {
        assert!(repository_root().join(file).is_file(), "{file}: exists");
    }
}

#[test]
fn exemptions_name_files_and_folders_that_exist() {
    let sources = sources();
    for exempt in WITHOUT_DECISIONS {
        let exists = sources
            .iter()
            .any(|(_, file)| file == exempt || file.starts_with(exempt));
        assert!(exists, "{exempt}");
    }
}

#[test]
fn decision_files_keep_to_their_length_and_width() {
    for file in policy_files() {
        let text = read(&file);
        let lines = lines_not_blank(&text);
        assert!(lines > 0, "{file}: is not empty");
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} lines");
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{file}: line {} has {width} characters",
                index + 1
            );
        }
    }
}

#[test]
fn functions_of_decision_files_are_short() {
    let mut functions = 0;
    for file in policy_files() {
        for (signature, length) in function_lengths(&read(&file)) {
            functions += 1;
            assert!(
                length <= MAX_FUNCTION_LINES,
                "{file}: {length} lines: {signature}"
            );
        }
    }
    assert!(functions > policy_files().len(), "functions were found");
}

#[test]
fn the_length_of_a_function_is_counted_from_signature_to_brace() {
    let text = "impl A {\n    fn b() {\n        c();\n\n        d();\n    }\n}\nfn e() {}\n";
    assert_eq!(
        function_lengths(text),
        [("fn b() {".to_owned(), 4), ("fn e() {}".to_owned(), 1)]
    );
}

#[test]
fn opening_of_the_scheduler_names_its_interface() {
    let text = read("crates/scheduler/src/scheduler.rs");
    let opening = text.lines().take_while(|line| line.starts_with("//!"));
    assert!(opening.into_iter().any(|line| line.contains("src/api")));
}

#[test]
fn files_without_decisions_read_no_settings_and_define_no_constants() {
    for (file, below_sources) in sources() {
        let is_interface = below_sources.starts_with("api/") || below_sources == "lib.rs";
        if !is_without_decisions(&below_sources) || is_interface {
            continue;
        }
        for line in read(&file).lines() {
            let code = line.split("//").next().unwrap_or("");
            let is_constant = CONSTANT_PREFIXES
                .iter()
                .any(|prefix| code.starts_with(prefix));
            let reads_settings = code.contains("Settings") || code.contains("settings");
            assert!(
                !is_constant && !reads_settings,
                "{file}: belongs to a file of `policy`: {line}"
            );
        }
    }
}
