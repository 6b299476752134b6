//! The two deployments and what their customers ask for.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use dunlinward_config::Config;
use dunlinward_config::file::Kind as ServiceKind;

use super::Error;
use crate::load::work::{Completion, Kind, Work};

/// Whose fleet to show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Dansk Eksamensforum.
    Dansk,
    /// Chaophraya Tickworks.
    Tickworks,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "dansk" => Ok(Self::Dansk),
            "tickworks" => Ok(Self::Tickworks),
            _ => Err(format!("no deployment `{text}`: dansk or tickworks")),
        }
    }
}

/// Sizes of one kind of completion, in tokens.
struct Sizes {
    shared: u32,
    own: RangeInclusive<u32>,
    output: RangeInclusive<u32>,
}

impl Deployment {
    /// The example configuration; its addresses are placeholders.
    pub(super) fn config(self) -> Result<Config, Error> {
        let text = match self {
            Self::Dansk => include_str!("../../../../examples/config/dansk-eksamensforum.toml"),
            Self::Tickworks => {
                include_str!("../../../../examples/config/chaophraya-tickworks.toml")
            }
        };
        Config::parse(text).map_err(|report| Error::Config {
            report: report.to_string(),
        })
    }

    /// The customer that floods the fleet; its share is a small one.
    pub(super) fn flooder(self) -> &'static str {
        match self {
            Self::Dansk => "odense-katedralskole",
            Self::Tickworks => "siam-watchlist",
        }
    }

    /// Service of the long completions.
    pub(super) fn long(self) -> &'static str {
        match self {
            Self::Dansk => "marking",
            Self::Tickworks => "digests",
        }
    }

    /// Service of the quick completions.
    pub(super) fn quick(self) -> &'static str {
        match self {
            Self::Dansk => "questions",
            Self::Tickworks => "charts",
        }
    }

    /// Work for which callers wait a while.
    pub(super) fn long_work(self, config: &Config) -> Work {
        let sizes = match self {
            Self::Dansk => Sizes {
                shared: 400,
                own: 200..=800,
                output: 20..=80,
            },
            Self::Tickworks => Sizes {
                shared: 200,
                own: 300..=1200,
                output: 20..=60,
            },
        };
        completion(config, self.long(), &sizes)
    }

    /// Work for which callers wait at the screen.
    pub(super) fn quick_work(self, config: &Config) -> Work {
        let sizes = Sizes {
            shared: 64,
            own: 10..=40,
            output: 5..=15,
        };
        completion(config, self.quick(), &sizes)
    }

    /// Work of the plain services.
    pub(super) fn plain_work(self) -> Vec<Work> {
        let work = |name: &str, path: &str, kind| Work {
            name: name.into(),
            path: path.into(),
            service: None,
            kind,
        };
        match self {
            Self::Dansk => vec![
                work("sheet", "/portal/sheets/1", Kind::Lookup),
                work(
                    "receipt",
                    "/portal/receipts",
                    Kind::Submission { bytes: 2000 },
                ),
            ],
            Self::Tickworks => vec![
                work("quote", "/quotes/last/PTT", Kind::Lookup),
                work("action", "/quotes/actions", Kind::Submission { bytes: 200 }),
            ],
        }
    }
}

fn completion(config: &Config, service: &str, sizes: &Sizes) -> Work {
    let models = config.service(service).map(|service| &service.models);
    let model = models.and_then(|models| models.first());
    Work {
        name: service.into(),
        path: "/v1/chat/completions".into(),
        service: Some(service.into()),
        kind: Kind::Model(Completion {
            model: model.map_or_else(|| Arc::from(""), Arc::clone),
            shared_words: sizes.shared,
            own_words: sizes.own.clone(),
            output_tokens: sizes.output.clone(),
            max_tokens: Some(2 * sizes.output.end()),
            stream: true,
        }),
    }
}

/// Whether a target is a model engine.
pub(super) fn is_engine(config: &Config, services: &[Arc<str>]) -> bool {
    let mut kinds = services.iter().filter_map(|name| config.service(name));
    kinds.any(|service| service.kind == ServiceKind::Model)
}
