//! Tables for people to read.

use std::io::{self, Write};

/// What stands in a cell that has no value.
pub(crate) const NONE: &str = "-";

/// Prints `head` and `rows` with each column as wide as its widest cell.
pub(crate) fn print<const N: usize>(
    head: [&str; N],
    rows: &[[String; N]],
    out: &mut dyn Write,
) -> io::Result<()> {
    let head = head.map(str::to_owned);
    let lines = || std::iter::once(&head).chain(rows);
    let width = |column: usize| lines().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    for row in lines() {
        let cells = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

/// The value of a cell that may have none.
pub(crate) fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}
