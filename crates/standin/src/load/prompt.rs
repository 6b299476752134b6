//! The content of calls.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::work::Completion;
use crate::engine::api::{Message, Request, marker};

/// Builds the request of a completion; its prompt sets the answer's length.
pub(super) fn request(customer: &str, completion: &Completion, seed: u64) -> Request {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let own = rng.random_range(completion.own_words.clone());
    let tokens = rng.random_range(completion.output_tokens.clone());
    let shared = (0..completion.shared_words).map(|number| format!("{customer}{number}"));
    let mut words: Vec<String> = shared.collect();
    words.extend((0..own).map(|_| format!("{:06x}", rng.random_range(0..1 << 24))));
    words.push(marker(tokens));
    Request {
        model: completion.model.to_string(),
        messages: vec![Message {
            role: "user".into(),
            content: words.join(" "),
        }],
        max_tokens: completion.max_tokens,
        stream: completion.stream,
        ..Request::default()
    }
}

/// Builds the body of a submission.
pub(super) fn submission(bytes: usize, seed: u64) -> Vec<u8> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    (0..bytes).map(|_| rng.random_range(b'a'..=b'z')).collect()
}
