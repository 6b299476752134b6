//! Log lines on standard output.
//!
//! One line an event, as JSON or as text. What identifies a request (its id,
//! customer, target, reason) travels in fields, not in the message, so lines can
//! be searched by it. Keys, prompts and answers are never passed to a log macro.
//! Only the binary calls [`init`], because the logger is one for the process.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

const APPENDER: &str = "stdout";

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)} {l} {t} {m} request={K(request)(-)} \
    customer={K(customer)(-)} target={K(target)(-)} reason={K(reason)(-)}{n}";

/// How a log line looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Words for a person.
    Text,
}

/// A logger that could not be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The library refused its configuration.
    #[snafu(display("the log configuration was refused: {source}"))]
    Configure {
        /// What it said.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// The process has a logger already.
    #[snafu(display("the process has a logger already"))]
    Twice {
        /// What the facade said.
        source: log::SetLoggerError,
    },
}

/// Sets the logger of the process.
///
/// # Errors
///
/// [`Error::Configure`] or [`Error::Twice`].
pub fn init(format: Format, level: LevelFilter) -> Result<(), Error> {
    let encoder: Box<dyn Encode> = match format {
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
    };
    let appender = ConsoleAppender::builder().encoder(encoder).build();
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))
        .context(ConfigureSnafu)?;
    log4rs::init_config(config).context(TwiceSnafu)?;
    Ok(())
}
