//! Paths in code font on the pages name code that exists.
//!
//! A path is `package::module::Item::member`, with the package's name less the prefix
//! `dunlinward-`, or a file of a package such as `crates/wire/src/seal.rs` or `wire/tests/seal.rs`.
//! Other spans, and fenced blocks, are passed over. Modules are followed to their files; what
//! remains of a path must occur as an identifier in the last module's file or below it, outside
//! line comments. An item at the top of a package must begin with a capital letter.

use std::collections::{BTreeMap, HashSet};
use std::fs;
use std::path::{Path, PathBuf};

/// The root of the repository.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Text in code font, with the line on which it begins.
struct Span {
    line: usize,
    text: String,
}

/// Folders of the packages, by name less the prefix.
type Packages = BTreeMap<String, PathBuf>;

#[test]
fn paths_on_the_pages_name_code_that_exists() {
    let packages = packages();
    let mut errors = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        let name = page.strip_prefix(ROOT).unwrap().display();
        let missing = missing(&packages, &text);
        errors.extend(
            missing
                .iter()
                .map(|span| format!("{name}:{}: {}", span.line, span.text)),
        );
    }
    assert!(errors.is_empty(), "no such code:\n{}", errors.join("\n"));
}

#[test]
fn a_path_that_names_no_code_is_found() {
    let page = "`wire::seal::Sealer`, `wire::seal::NoSuch`\n\
                ```\n`wire::fenced`\n```\n\
                `wire::{frame,\n  nosuch}` `wire::encode` `wire::Frame` `other::nosuch` `NoSuch`\n\
                `wire/src/seal.rs` `crates/wire/tests/nosuch.rs` `other/src/nosuch.rs`\n\
                `wire/src/s*.rs` `wire/src/no*.rs`";
    let missing = missing(&packages(), page);
    let missing: Vec<_> = missing
        .iter()
        .map(|span| format!("{} {}", span.line, span.text))
        .collect();
    assert_eq!(
        missing,
        [
            "1 wire::seal::NoSuch",
            "5 wire::nosuch",
            "6 wire::encode",
            "7 crates/wire/tests/nosuch.rs",
            "8 wire/src/no*.rs"
        ]
    );
}

/// The packages of the workspace.
fn packages() -> Packages {
    let root = Path::new(ROOT);
    let folders = entries(&root.join("crates"))
        .into_iter()
        .chain([root.join("platform")]);
    folders
        .map(|folder| (package_name(&folder), folder))
        .collect()
}

/// The name in a package's manifest, less the prefix.
fn package_name(folder: &Path) -> String {
    let manifest = fs::read_to_string(folder.join("Cargo.toml")).unwrap();
    let name = manifest
        .lines()
        .find_map(|line| line.strip_prefix("name = \"dunlinward-"))
        .unwrap();
    name.trim_end_matches('"').to_owned()
}

/// The pages to check.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(ROOT);
    let mut pages = files_below(&root.join("docs"), "md");
    assert!(!pages.is_empty());
    pages.extend(["README.md", "CONTRIBUTING.md"].map(|page| root.join(page)));
    pages
}

/// The paths on a page that name no code.
fn missing(packages: &Packages, page: &str) -> Vec<Span> {
    let paths = spans(page).into_iter().flat_map(expand);
    paths.filter(|span| !exists(packages, &span.text)).collect()
}

/// Spans in code font outside fenced blocks.
fn spans(page: &str) -> Vec<Span> {
    let text = without_fenced(page);
    let mut spans = Vec::new();
    let mut line = 1;
    for (index, part) in text.split('`').enumerate() {
        let in_code = index % 2 == 1;
        if in_code {
            let text = part.replace('\n', "");
            spans.push(Span { line, text });
        }
        line += part.matches('\n').count();
    }
    let marks = text.matches('`').count();
    assert_eq!(marks, 2 * spans.len(), "a span in code font has no end");
    spans
}

/// A page with empty lines in place of its fenced blocks.
fn without_fenced(page: &str) -> String {
    let mut text = String::new();
    let mut fenced = false;
    for line in page.lines() {
        let is_fence = line.trim_start().starts_with("```");
        fenced ^= is_fence;
        if !fenced && !is_fence {
            text.push_str(line);
        }
        text.push('\n');
    }
    text
}

/// One span for each name in a path's braces.
fn expand(span: Span) -> Vec<Span> {
    let braces = span
        .text
        .split_once('{')
        .and_then(|(head, rest)| Some((head, rest.split_once('}')?)));
    let Some((head, (names, tail))) = braces.filter(|(head, _)| head.ends_with("::")) else {
        return vec![span];
    };
    let paths = names
        .split(',')
        .map(|name| format!("{head}{}{tail}", name.trim()));
    paths
        .map(|text| Span {
            line: span.line,
            text,
        })
        .collect()
}

/// Whether a span is passed over or names code that exists.
fn exists(packages: &Packages, span: &str) -> bool {
    let is_source = Path::new(span).extension().is_some_and(|it| it == "rs");
    if is_source && span.contains('/') {
        return file_exists(span);
    }
    let Some((package, path)) = span.split_once("::") else {
        return true;
    };
    packages
        .get(package)
        .is_none_or(|folder| item_exists(&folder.join("src"), path))
}

/// Whether a file exists below the root or `crates/`, or lies in no folder of the repository.
fn file_exists(file: &str) -> bool {
    let root = Path::new(ROOT);
    let first = file.split('/').next().unwrap();
    let bases = [root.to_path_buf(), root.join("crates")];
    let known = bases.iter().any(|base| base.join(first).is_dir());
    !known || bases.iter().any(|base| any_matches(&base.join(file)))
}

/// Whether a file exists whose name matches, with at most one `*` in the name.
fn any_matches(file: &Path) -> bool {
    let name = file.file_name().unwrap().to_str().unwrap();
    let Some((start, end)) = name.split_once('*') else {
        return file.is_file();
    };
    let names = entries(file.parent().unwrap());
    let mut names = names
        .iter()
        .map(|entry| entry.file_name().unwrap().to_str().unwrap());
    names.any(|name| name.starts_with(start) && name.ends_with(end))
}

/// Whether a path below a package's source folder names a module or an item.
fn item_exists(source: &Path, path: &str) -> bool {
    let mut names: Vec<&str> = path.split("::").collect();
    let mut module = source.to_path_buf();
    while !names.is_empty() && !module_files(&module.join(names[0])).is_empty() {
        module.push(names.remove(0));
    }
    let at_top = module == source;
    if at_top && !names[0].starts_with(char::is_uppercase) {
        return false;
    }
    let files = if at_top {
        vec![source.join("lib.rs")]
    } else {
        module_files(&module)
    };
    let identifiers: HashSet<String> = files.iter().flat_map(|file| identifiers(file)).collect();
    names.iter().all(|name| identifiers.contains(*name))
}

/// The files of a module: its own and those below it.
fn module_files(module: &Path) -> Vec<PathBuf> {
    let mut files = files_below(module, "rs");
    let own = module.with_extension("rs");
    if own.is_file() {
        files.push(own);
    }
    files
}

/// The words of a file outside line comments.
fn identifiers(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap();
    let code = text.lines().map(|line| line.split("//").next().unwrap());
    let words = code.flat_map(|line| line.split(|it: char| !it.is_alphanumeric() && it != '_'));
    words
        .filter(|word| !word.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Files with an extension in a folder and its folders.
fn files_below(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in entries(folder) {
        if entry.is_dir() {
            files.extend(files_below(&entry, extension));
        } else if entry.extension().is_some_and(|it| it == extension) {
            files.push(entry);
        }
    }
    files
}

/// The entries of a folder in order; none if it does not exist.
fn entries(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(folder) else {
        return Vec::new();
    };
    let mut entries: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    entries.sort();
    entries
}
