#!/usr/bin/env python3
"""Fails if a withdrawn word is used in a name, a comment or a page.

`withdrawn-terms.txt` beside this script lists the words and explains its format. Names are the identifiers of Rust
files and the names of all files; string literals are not names. Comments of Rust files and Markdown pages are checked
for the words that have no ordinary other meaning. In pages, code blocks, quotations and code spans are left out.
"""

import argparse
import fnmatch
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

TERM_LIST = "withdrawn-terms.txt"
# Folders whose content is not written by hand, or quotes what was measured.
SKIPPED_FOLDERS = {"target", "journal", "found", "logs", "__pycache__"}
HIDDEN_FOLDERS_CHECKED = {".ci"}

RUST_TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n]*|/\*.*?\*/)
  | (?P<raw_string>\b(?:br|cr|r)(?P<hashes>\#*)".*?"(?P=hashes))
  | (?P<string>\b[bc]?"(?:[^"\\]|\\.)*"|"(?:[^"\\]|\\.)*")
  | (?P<character>\bb?'(?:[^'\\]|\\[^u]|\\u\{[^}]*\}|\\x[0-9a-fA-F]{2})'|'(?:[^'\\]|\\.[^']*)')
  | (?P<plain_attribute>\#!?\[\s*\w+\s*\])
  | (?P<name>[A-Za-z_]\w*)
    """,
    re.VERBOSE | re.DOTALL,
)
NAME_SEGMENT = re.compile(r"[A-Z]+(?=[A-Z][a-z])|[A-Z]?[a-z]+|[A-Z]+|[0-9]+")
TEXT_WORD = re.compile(r"[A-Za-z]+(?:'[a-z]+)?")
CODE_SPAN = re.compile(r"`[^`\n]*`")


class ListError(Exception):
    """The list of withdrawn words is malformed."""


@dataclass(frozen=True)
class Term:
    """One withdrawn word with its forms; each form is a sequence of words."""

    forms: tuple
    use: str
    in_text: bool
    unless: tuple


class TermIndex:
    """The forms of terms by their first word, so that a word that begins no form costs one look-up."""

    def __init__(self, terms):
        self.by_first_word = {}
        self.by_prefix = {}
        for term in terms:
            for form in term.forms:
                first = form[0]
                index = self.by_prefix if first.endswith("*") else self.by_first_word
                index.setdefault(first.rstrip("*"), []).append((term, form))
        self.prefixes = tuple(self.by_prefix)

    def find(self, words):
        """The terms in `words`, each with the form found and the index at which it begins."""
        found = []
        for start, word in enumerate(words):
            for term, form in self.forms_beginning_with(word):
                if occurs_at(form, words, start) and not is_allowed(term, words, start):
                    found.append((term, form, start))
        return found

    def forms_beginning_with(self, word):
        forms = self.by_first_word.get(word, [])
        if word.startswith(self.prefixes):
            for prefix in self.prefixes:
                if word.startswith(prefix):
                    forms = forms + self.by_prefix[prefix]
        return forms


def is_allowed(term, words, index):
    """Whether the word at `index` is part of a phrase in which the term is allowed."""
    return any(
        occurs_at(phrase, words, index - offset)
        for phrase in term.unless
        for offset in range(min(index + 1, len(phrase)))
    )


def occurs_at(form, words, start):
    """Whether the words of `form` occur in `words` from index `start` on."""
    if len(form) == 1:
        return matches(form[0], words[start])
    candidate = words[start : start + len(form)]
    return len(candidate) == len(form) and all(map(matches, form, candidate))


def matches(pattern, word):
    if pattern.endswith("*"):
        return word.startswith(pattern[:-1])
    return word == pattern


@dataclass
class Allowance:
    """A path in which some words are allowed."""

    path: str
    words: frozenset
    reason: str
    used: set = field(default_factory=set)


@dataclass(frozen=True)
class Finding:
    """A withdrawn word at a place."""

    path: str
    line: int
    where: str
    word: str
    use: str

    def __str__(self):
        place = f"{self.path}:{self.line}" if self.line else self.path
        return f"{place}: {self.where}: '{self.word}' is withdrawn; use: {self.use}"


def parse_list(text):
    """Reads the list; returns its terms and its allowances."""
    terms, allowances, section = [], [], None
    for number, line in enumerate(text.splitlines(), start=1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        if line.startswith("["):
            section = line
            continue
        columns = [column.strip() for column in line.split("|")]
        if section == "[terms]":
            terms.append(parse_term(columns, number))
        elif section == "[allowed]":
            allowances.append(parse_allowance(columns, number))
        else:
            raise ListError(f"line {number}: in no known section")
    if not terms:
        raise ListError("no terms")
    return terms, allowances


def parse_term(columns, number):
    if len(columns) != 4 or columns[2] not in ("names", "text") or not columns[0] or not columns[1]:
        raise ListError(f"line {number}: expected 'words | use | names or text | unless'")
    words, use, where, unless = columns
    return Term(parse_forms(words), use, where == "text", parse_forms(unless))


def parse_allowance(columns, number):
    if len(columns) != 3 or not all(columns):
        raise ListError(f"line {number}: expected 'path | words | reason'")
    path, words, reason = columns
    return Allowance(path, frozenset("_".join(form) for form in parse_forms(words)), reason)


def parse_forms(text):
    """`turned_away, linnet*` as tuples of words."""
    forms = (form.strip().lower() for form in text.split(","))
    return tuple(tuple(form.split("_")) for form in forms if form)


def name_segments(name):
    """The words of an identifier or a file name, in lower case."""
    return [segment.lower() for segment in NAME_SEGMENT.findall(name)]


class Checker:
    """Checks files against the terms and collects what it finds."""

    def __init__(self, terms, allowances):
        self.name_terms = TermIndex(terms)
        self.text_terms = TermIndex([term for term in terms if term.in_text])
        self.allowances = allowances
        self.findings = []
        self.found_in_name = {}

    def check_tree(self, root):
        """Checks all files below `root`; returns their number."""
        files = list(source_files(root))
        for path in files:
            relative = path.relative_to(root)
            self.check_path(str(relative))
            if path.suffix == ".rs":
                self.check_rust(str(relative), path.read_text(encoding="utf-8"))
            elif path.suffix == ".md":
                self.check_markdown(str(relative), path.read_text(encoding="utf-8"))
        self.check_allowances()
        return len(files)

    def check_path(self, path):
        for part in Path(path).parts:
            self.check_name(path, 0, "file name", part)

    def check_rust(self, path, text):
        block = []
        line, position = 1, 0
        for token in RUST_TOKEN.finditer(text):
            between = text[position : token.start()]
            line += between.count("\n")
            position = token.start()
            if token.lastgroup == "comment":
                block += comment_words(token["comment"], line)
                continue
            self.check_words(path, "comment", block)
            block = []
            if token.lastgroup == "name":
                self.check_name(path, line, f"name {token['name']}", token["name"])
        self.check_words(path, "comment", block)

    def check_markdown(self, path, text):
        words, in_code_block = [], False
        for number, line in enumerate(text.splitlines(), start=1):
            if line.lstrip().startswith("```"):
                in_code_block = not in_code_block
            elif not in_code_block and not line.startswith((">", "    ")):
                words += text_words(line, number)
        self.check_words(path, "text", words)

    def check_name(self, path, line, where, name):
        if name not in self.found_in_name:
            self.found_in_name[name] = self.name_terms.find(name_segments(name))
        for term, form, _ in self.found_in_name[name]:
            self.report(path, line, where, form, term)

    def check_words(self, path, where, numbered_words):
        words = [word for word, _ in numbered_words]
        for term, form, start in self.text_terms.find(words):
            self.report(path, numbered_words[start][1], where, form, term)

    def report(self, path, line, where, form, term):
        word = "_".join(form)
        for allowance in self.allowances:
            if word in allowance.words and fnmatch.fnmatchcase(path, allowance.path):
                allowance.used.add(word)
                return
        self.findings.append(Finding(path, line, where, word.replace("_", " "), term.use))

    def check_allowances(self):
        for allowance in self.allowances:
            for word in sorted(allowance.words - allowance.used):
                path = f"lint/{TERM_LIST}"
                self.findings.append(
                    Finding(path, 0, f"[allowed] {allowance.path}", word, "no entry, nothing needs it")
                )


def comment_words(comment, first_line):
    """The words of a comment with their lines."""
    lines = enumerate(comment.split("\n"), start=first_line)
    return [pair for number, line in lines for pair in text_words(line, number)]


def text_words(line, number):
    """The words of a line outside code spans, in lower case, each with the line's number."""
    return [(word.lower(), number) for word in TEXT_WORD.findall(CODE_SPAN.sub(" . ", line))]


def source_files(folder):
    """All files below `folder` that are written by hand, in the order of their paths."""
    for path in sorted(folder.iterdir()):
        if path.is_dir():
            hidden = path.name.startswith(".") and path.name not in HIDDEN_FOLDERS_CHECKED
            if path.name not in SKIPPED_FOLDERS and not hidden:
                yield from source_files(path)
        elif path.is_file():
            yield path


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    here = Path(__file__).resolve().parent
    parser.add_argument("--root", type=Path, default=here.parent, help="folder to check")
    parser.add_argument("--list", type=Path, default=here / TERM_LIST, help="list of withdrawn words")
    options = parser.parse_args()
    try:
        checker = Checker(*parse_list(options.list.read_text(encoding="utf-8")))
    except ListError as error:
        sys.exit(f"{options.list}: {error}")
    files = checker.check_tree(options.root)
    for finding in checker.findings:
        print(finding)
    if not files:
        sys.exit(f"no files below {options.root}")
    if checker.findings:
        sys.exit(f"{len(checker.findings)} findings in {files} files")
    print(f"no withdrawn words in {files} files")


if __name__ == "__main__":
    main()
