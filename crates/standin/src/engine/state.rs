//! The model with the connections that its streams are attached to.

use std::collections::BTreeMap;

use super::api::Fault;
use super::model::{Engine, Id, Kind};
use super::sink::{Feed, Sink};

/// A stream and the connection that it is attached to.
pub(super) struct Stream {
    pub feed: Feed,
    pub sink: Option<Sink>,
    /// When the connection was lost.
    pub detached_at: Option<u64>,
}

/// The model and what is attached to it.
pub(super) struct State {
    pub engine: Engine,
    pub streams: BTreeMap<Id, Stream>,
    pub runs: BTreeMap<String, u64>,
    pub fault: Fault,
    pub stopped: bool,
}

impl State {
    /// Advances the model and hands out what happened.
    pub fn pump(&mut self, now: u64, linger: u64) {
        for event in self.engine.advance(now) {
            let Some(stream) = self.streams.get_mut(&event.stream) else {
                continue;
            };
            match event.kind {
                Kind::FirstToken => stream.feed.made(0),
                Kind::Token { index } => stream.feed.made(index),
                Kind::Finished { usage } => stream.feed.finished(usage.into()),
            }
            stream.flow(self.fault.cut_after);
        }
        self.look_after(now, linger);
    }

    /// Notices lost connections, cancels streams that nobody came back for and
    /// drops those that the model has forgotten.
    fn look_after(&mut self, now: u64, linger: u64) {
        let engine = &mut self.engine;
        self.streams.retain(|&id, stream| {
            if engine.generated(id).is_none() {
                return false;
            }
            if stream.sink.as_ref().is_none_or(Sink::is_closed) {
                stream.sink = None;
                let since = *stream.detached_at.get_or_insert(now);
                if now - since >= linger {
                    engine.cancel(now, id);
                }
            }
            true
        });
    }
}

impl Stream {
    /// Sends what the connection has not got yet.
    pub fn flow(&mut self, cut_after: Option<u32>) {
        if let Some(sink) = self.sink.take() {
            self.sink = sink.flow(&self.feed, cut_after);
        }
    }
}

impl State {
    /// Breaks the connection of a stream that was stopped.
    pub fn cut(&mut self, id: Id) {
        if let Some(sink) = self.streams.get_mut(&id).and_then(|s| s.sink.take()) {
            sink.cut();
        }
    }
}
