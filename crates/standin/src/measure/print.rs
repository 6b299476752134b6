//! Reports on the screen.

use std::io::Write;

use serde::Serialize;
use serde_json::Value;

use super::Error;

/// Characters for a figure's name.
const WIDTH: usize = 44;

/// Writes a report as one line of JSON.
pub(super) fn json(out: &mut dyn Write, report: &impl Serialize) -> Result<(), Error> {
    serde_json::to_writer(&mut *out, report)?;
    writeln!(out)?;
    Ok(())
}

/// Writes a report as lines of a name and a figure.
pub(super) fn table(out: &mut dyn Write, report: &impl Serialize) -> Result<(), Error> {
    rows(out, "", &serde_json::to_value(report)?)
}

fn rows(out: &mut dyn Write, name: &str, value: &Value) -> Result<(), Error> {
    let under = |part: &str| {
        if name.is_empty() {
            part.to_owned()
        } else {
            format!("{name}.{part}")
        }
    };
    match value {
        Value::Object(parts) => parts
            .iter()
            .try_for_each(|(part, value)| rows(out, &under(part), value)),
        Value::Array(parts) => parts
            .iter()
            .enumerate()
            .try_for_each(|(at, value)| rows(out, &under(&at.to_string()), value)),
        Value::Number(number) if number.is_f64() => {
            let number = number.as_f64().unwrap_or(f64::NAN);
            Ok(writeln!(out, "{name:<WIDTH$} {number:>12.3}")?)
        }
        Value::String(text) => Ok(writeln!(out, "{name:<WIDTH$} {text:>12}")?),
        other => Ok(writeln!(out, "{name:<WIDTH$} {:>12}", other.to_string())?),
    }
}
