#!/usr/bin/env python3
"""Tests of check_terms.py: withdrawn words make it fail, and what only looks like one does not."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import check_terms

HERE = Path(__file__).resolve().parent
SCRIPT = HERE / "check_terms.py"
SAMPLE_LIST = """
[terms]
cold            | slow start      | text  |
second_copy     | hedged request  | text  |
aim, aims       | objective       | names |
refused         | rejected        | names | connection_refused
linnet*         | the plain term  | text  |

[allowed]
"""


def findings(files, term_list=SAMPLE_LIST):
    """What the check reports for a tree of files, as triples of path, line and word."""
    with tempfile.TemporaryDirectory() as folder:
        write_tree(Path(folder), files)
        checker = check_terms.Checker(*check_terms.parse_list(term_list))
        checker.check_tree(Path(folder))
        return [(found.path, found.line, found.word) for found in checker.findings]


def write_tree(root, files):
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")


def words_in_rust(text):
    return [word for _, _, word in findings({"a.rs": text})]


class Names(unittest.TestCase):
    def test_segments_of_names_in_every_case_are_found(self):
        for name in ("cold", "is_cold", "ColdNode", "isCold", "COLD_MS", "r#cold", "_cold", "Cold2"):
            self.assertEqual(words_in_rust(f"fn f() {{ let {name}; }}"), ["cold"], name)

    def test_longer_words_that_contain_a_withdrawn_one_are_clean(self):
        self.assertEqual(words_in_rust("fn scold(claim: Aimless, coldness: u8) {}"), [])

    def test_phrase_is_found_only_as_consecutive_words(self):
        self.assertEqual(words_in_rust("struct SecondCopyPolicy;"), ["second copy"])
        self.assertEqual(words_in_rust("fn second(copy: u8) {} fn second_full_copy() {}"), [])

    def test_prefix_matches_any_ending(self):
        self.assertEqual(words_in_rust("mod linnetdoor; mod linnet;"), ["linnet*", "linnet*"])

    def test_allowed_phrase_excuses_only_its_own_words(self):
        self.assertEqual(words_in_rust("const CONNECTION_REFUSED: u8 = ConnectionRefused;"), [])
        self.assertEqual(words_in_rust("let refused_connection_refused = 1;"), ["refused"])

    def test_names_of_rust_and_std_are_clean(self):
        self.assertEqual(words_in_rust("#[cold] fn try_from() { r#try(); TryFrom; map.retain(); }"), [])

    def test_file_and_folder_names_are_checked_whatever_the_type(self):
        files = {"cold/a.txt": "", "b/aims.json": ""}
        self.assertEqual(findings(files), [("b/aims.json", 0, "aims"), ("cold/a.txt", 0, "cold")])


class Literals(unittest.TestCase):
    def test_strings_and_characters_are_not_names(self):
        for literal in ('"cold"', 'b"cold"', 'r"cold"', 'r#"a "cold" b"#', 'br##"cold"#"##', '"\\"cold"'):
            self.assertEqual(words_in_rust(f"const A: &str = {literal};"), [], literal)
        self.assertEqual(words_in_rust('#[serde(rename = "cold")] a: u8'), [])

    def test_names_after_a_literal_are_still_checked(self):
        for literal in ("'\"'", "b'\"'", "'\\''", "b'\\''", "'\\\\'", '"\\\\"', "'\\u{22}'", 'r#"""#', "&'a"):
            self.assertEqual(words_in_rust(f"let x = {literal}; let cold;"), ["cold"], literal)

    def test_names_after_a_comment_are_still_checked(self):
        self.assertEqual(words_in_rust("// it's \"open\nlet cold;"), ["cold"])
        self.assertEqual(words_in_rust("/* \" */ let cold;"), ["cold"])


class Text(unittest.TestCase):
    def test_comments_of_every_kind_are_checked(self):
        for comment in ("// cold\n", "/// Cold node\n", "//! a cold, idle node\n", "/* cold */"):
            self.assertEqual(words_in_rust(comment), ["cold"], comment)

    def test_line_is_that_of_the_word(self):
        text = "fn a() {}\n\n/* one\ntwo cold */\n/// a second\n/// copy of it\nlet\ncold;"
        expected = [("a.rs", 4, "cold"), ("a.rs", 5, "second copy"), ("a.rs", 8, "cold")]
        self.assertEqual(findings({"a.rs": text}), expected)

    def test_words_with_an_ordinary_meaning_are_checked_in_names_only(self):
        self.assertEqual(words_in_rust("// the code aims to be short\nlet aims;"), ["aims"])

    def test_code_spans_are_clean(self):
        self.assertEqual(words_in_rust("/// The key `cold_ms`, and `cold`.\n"), [])

    def test_pages_are_checked_outside_code_and_quotations(self):
        page = "# A cold start\n\n> cold\n\n```text\ncold\n```\n\n    cold\n\n`cold` and aims\na second\ncopy\n"
        self.assertEqual(findings({"a.md": page}), [("a.md", 1, "cold"), ("a.md", 12, "second copy")])


class Lists(unittest.TestCase):
    def test_allowed_path_excuses_its_words(self):
        allowed = SAMPLE_LIST + "wire/*.rs | cold | the wire's own name\n"
        files = {"wire/a.rs": "let cold;", "b.rs": "let cold;", "wire/c.rs": "let aim;"}
        self.assertEqual(findings(files, allowed), [("b.rs", 1, "cold"), ("wire/c.rs", 1, "aim")])

    def test_allowance_that_nothing_needs_is_reported(self):
        allowed = SAMPLE_LIST + "wire/*.rs | cold, aim | the wire's own name\n"
        found = findings({"wire/a.rs": "let cold;"}, allowed)
        self.assertEqual(found, [("lint/withdrawn-terms.txt", 0, "aim")])

    def test_malformed_lists_are_errors(self):
        bad_lines = ("cold | slow start | names", "cold | | names |", "cold | x | prose |", "[allowed]\na | b |")
        for text in ("", "cold | x | text |", *(f"[terms]\n{line}" for line in bad_lines)):
            with self.assertRaises(check_terms.ListError, msg=text):
                check_terms.parse_list(text)

    def test_every_form_of_the_list_is_found(self):
        terms, _ = check_terms.parse_list((HERE / check_terms.TERM_LIST).read_text(encoding="utf-8"))
        for term in terms:
            for form in term.forms:
                name = "_".join(form).rstrip("*")
                rust = f"fn a_{name}_b() {{}}"
                if term.in_text:
                    rust += f"\n// A {name.replace('_', ' ')} here."
                checker = check_terms.Checker([term], [])
                checker.check_rust("a.rs", rust)
                self.assertEqual(len(checker.findings), 1 + term.in_text, name)


class Program(unittest.TestCase):
    def run_on(self, files, term_list=SAMPLE_LIST):
        """Runs the program on a tree of files; `term_list` None stands for the project's own list."""
        with tempfile.TemporaryDirectory() as folder, tempfile.NamedTemporaryFile("w") as list_file:
            write_tree(Path(folder), files)
            command = [sys.executable, "-B", SCRIPT, "--root", folder]
            if term_list is not None:
                list_file.write(term_list)
                list_file.flush()
                command += ["--list", list_file.name]
            return subprocess.run(command, capture_output=True, text=True, check=False)

    def test_withdrawn_word_is_an_error_with_its_place_and_the_term_to_use(self):
        for term_list in (SAMPLE_LIST, None):
            result = self.run_on({"crates/a.rs": "\nfn is_cold() {}\n"}, term_list)
            self.assertEqual(result.returncode, 1)
            self.assertIn("crates/a.rs:2: name is_cold: 'cold' is withdrawn; use: ", result.stdout)

    def test_clean_tree_passes(self):
        result = self.run_on({"a.rs": '/// Warms up.\nfn slow_start() { "cold"; }\n'})
        self.assertEqual((result.returncode, result.stderr), (0, ""))

    def test_empty_tree_is_an_error(self):
        self.assertEqual(self.run_on({}).returncode, 1)

    def test_malformed_list_is_an_error(self):
        self.assertEqual(self.run_on({"a.rs": ""}, "[terms]\ncold\n").returncode, 1)


if __name__ == "__main__":
    unittest.main()
