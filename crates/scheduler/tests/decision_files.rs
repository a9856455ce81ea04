//! Source files with the scheduling rules (decision files): `policy` in `deploy/balancer.toml` must
//! list exactly these, and the length of the files and of their functions is limited, so that they
//! stay easy to review.

use std::path::{Path, PathBuf};

/// Maximum length of a decision file, in non-blank lines.
const MAX_FILE_LINES: usize = 250;
/// Maximum length of a function in a decision file, from its signature to its closing brace, in
/// non-blank lines.
const MAX_FUNCTION_LINES: usize = 30;
/// Maximum width of a line in a decision file, in characters; applies to comments, too.
const MAX_LINE_WIDTH: usize = 100;
/// Files and folders in `src` without decision logic: the API, containers, a hash, units of time,
/// and the crate's root module.
const PATHS_WITHOUT_DECISIONS: [&str; 5] = ["api/", "collections/", "hash.rs", "lib.rs", "time.rs"];
/// Beginnings of constant declarations, which files without decisions must not contain.
const CONSTANT_DECLARATION_PREFIXES: [&str; 3] = ["const ", "pub const ", "pub(crate) const "];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the root of the repository should exist")
}

/// Returns the strings in the array `policy = [...]` of the deploy file, without those in comments.
fn policy_files() -> Vec<String> {
    let deploy = read("deploy/balancer.toml");
    let lines_without_comments: Vec<&str> = deploy
        .lines()
        .map(|line| line.split('#').next().unwrap_or(""))
        .collect();
    let text = lines_without_comments.join("\n");
    let (_, value) = text
        .split_once("\npolicy = [")
        .expect("the deploy file should have the key `policy`");
    let (array, _) = value.split_once(']').expect("the array should be closed");
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

/// Returns all Rust source files in a folder and its subfolders.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder should be readable") {
        let path = entry.expect("the folder entry should be readable").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the path of each source file of the crate, relative to the root of the repository and
/// relative to `src`.
fn sources() -> Vec<(String, String)> {
    let root = repository_root();
    let folder = root.join("crates/scheduler/src");
    let mut sources = Vec::new();
    for path in source_files(&folder) {
        let path_in_repository = path
            .strip_prefix(&root)
            .expect("the file should be in the repository");
        let path_in_src = path
            .strip_prefix(&folder)
            .expect("the file should be in `src`");
        sources.push((
            path_in_repository.display().to_string(),
            path_in_src.display().to_string(),
        ));
    }
    assert!(sources.len() > PATHS_WITHOUT_DECISIONS.len());
    sources
}

fn has_no_decisions(file: &str) -> bool {
    PATHS_WITHOUT_DECISIONS
        .iter()
        .any(|path| file == *path || (path.ends_with('/') && file.starts_with(path)))
}

fn count_non_blank_lines(text: &str) -> usize {
    text.lines().filter(|line| !line.trim().is_empty()).count()
}

/// Returns the first line and the length of each function in a source file. The file must be
/// formatted by rustfmt: a function ends at the first closing brace with the indentation of its
/// signature.
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
        let line_count = lines[start..]
            .iter()
            .take_while(|line| **line != end && **line != declaration_end)
            .filter(|line| !line.trim().is_empty())
            .count();
        let is_one_line = code.ends_with('}') || code.ends_with(';');
        let length = if is_one_line { 1 } else { line_count + 1 };
        functions.push((code.to_owned(), length));
    }
    functions
}

#[test]
fn policy_lists_exactly_the_files_with_decisions() {
    let policy = policy_files();
    for (file, path_in_src) in sources() {
        assert_eq!(
            policy.contains(&file),
            !has_no_decisions(&path_in_src),
            "{file}: `policy` must list exactly the files with decisions"
        );
    }
    for file in &policy {
        assert!(
            repository_root().join(file).is_file(),
            "{file}: listed in `policy`, but does not exist"
        );
    }
}

#[test]
fn files_and_folders_without_decisions_exist() {
    let sources = sources();
    for path in PATHS_WITHOUT_DECISIONS {
        let exists = sources
            .iter()
            .any(|(_, file)| file == path || file.starts_with(path));
        assert!(exists, "{path}: does not exist");
    }
}

#[test]
fn decision_files_do_not_exceed_the_maximum_length_and_width() {
    for file in policy_files() {
        let text = read(&file);
        let lines = count_non_blank_lines(&text);
        assert!(lines > 0, "{file}: is empty");
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} non-blank lines");
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
fn functions_of_decision_files_do_not_exceed_the_maximum_length() {
    let mut functions = 0;
    for file in policy_files() {
        for (signature, length) in function_lengths(&read(&file)) {
            functions += 1;
            assert!(
                length <= MAX_FUNCTION_LINES,
                "{file}: function of {length} lines: {signature}"
            );
        }
    }
    assert!(functions > policy_files().len(), "no functions were found");
}

#[test]
fn function_length_is_counted_from_signature_to_closing_brace() {
    let text = "impl A {\n    fn b() {\n        c();\n\n        d();\n    }\n}\nfn e() {}\n";
    assert_eq!(
        function_lengths(text),
        [("fn b() {".to_owned(), 4), ("fn e() {}".to_owned(), 1)]
    );
}

#[test]
fn module_documentation_of_the_scheduler_refers_to_the_api() {
    let text = read("crates/scheduler/src/scheduler.rs");
    let module_documentation = text.lines().take_while(|line| line.starts_with("//!"));
    assert!(module_documentation
        .into_iter()
        .any(|line| line.contains("src/api")));
}

#[test]
fn files_without_decisions_read_no_settings_and_define_no_constants() {
    for (file, path_in_src) in sources() {
        let is_interface = path_in_src.starts_with("api/") || path_in_src == "lib.rs";
        if !has_no_decisions(&path_in_src) || is_interface {
            continue;
        }
        for line in read(&file).lines() {
            let code = line.split("//").next().unwrap_or("");
            let is_constant = CONSTANT_DECLARATION_PREFIXES
                .iter()
                .any(|prefix| code.starts_with(prefix));
            let reads_settings = code.contains("Settings") || code.contains("settings");
            assert!(
                !is_constant && !reads_settings,
                "{file}: has no decisions, but reads settings or defines a constant: {line}"
            );
        }
    }
}
