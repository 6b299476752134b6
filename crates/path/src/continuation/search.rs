//! Search for the software version that began a stream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::continuation::{Answer, Origin, Stream};
use dunlinward_dispatch::message::Content;
use tokio::sync::mpsc;

use super::stored;
use crate::inbound;
use crate::node::Node;

/// Time within which a router must answer a query: some round trips between failure domains.
const ANSWER_TIME: Duration = Duration::from_millis(25);

/// Times that a router is asked, as a datagram may be lost.
const MAX_QUERIES: u32 = 2;

/// Limit of routers that are asked after the keepers.
const MAX_ASKED: usize = 32;

/// Queries that wait for answers.
#[derive(Debug, Default)]
pub struct Queries {
    next: Cell<u64>,
    waiting: RefCell<HashMap<Stream, HashMap<u64, Sender>>>,
}

type Sender = mpsc::UnboundedSender<(SocketAddr, Origin)>;

/// Result of a search for the version that began a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Found {
    /// What was found; all routers have answered if that is nothing.
    Origin(Origin),
    /// Nothing was found, and some routers have not answered or the store could not be read.
    Unanswered,
}

/// Where a search has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// This router.
    Own,
    /// One of the keepers.
    Keeper,
    /// The keepers, none of which knows the stream.
    AllKeepers,
    /// Another router.
    Other,
    /// All routers that were asked, none of which knows the stream.
    AllRouters,
    /// The store, which has been read.
    Store,
    /// The store, which could not be read.
    Unread,
}

impl Source {
    /// Label value in metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Keeper => "keeper",
            Self::AllKeepers => "keepers",
            Self::Other => "other",
            Self::AllRouters => "routers",
            Self::Store => "store",
            Self::Unread => "unread",
        }
    }
}

/// Whose ignorance of a stream proves that it did not begin at a version unknown to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Witness {
    /// Its keepers.
    Keepers,
    /// All routers that are asked.
    Routers,
    /// The store only.
    Store,
}

/// Searches for the version that began a stream: here, at its keepers, at other routers, then in
/// the store. The search ends at the `witness` if it does not know the stream.
pub(super) async fn find(node: &Rc<Node>, stream: Stream, witness: Witness) -> (Found, Source) {
    let now = node.now();
    let own = node.state.borrow().streams.origin(stream, now);
    if own != Origin::Unknown {
        return (Found::Origin(own), Source::Own);
    }
    let (keepers, others) = asked(node, stream);
    let mut unanswered = false;
    for (asked, source, last) in [
        (keepers, Source::Keeper, Source::AllKeepers),
        (others, Source::Other, Source::AllRouters),
    ] {
        match ask(node, stream, asked).await {
            Found::Origin(Origin::Unknown) => {}
            Found::Unanswered => unanswered = true,
            found @ Found::Origin(_) => return (found, source),
        }
        let suffices = match last {
            Source::AllKeepers => witness == Witness::Keepers,
            _ => witness != Witness::Store,
        };
        if suffices && !unanswered {
            return (Found::Origin(Origin::Unknown), last);
        }
    }
    let read = stored::read(node, stored::READ_TIMEOUT).await;
    let source = if read { Source::Store } else { Source::Unread };
    let stored = node.state.borrow().streams.origin(stream, node.now());
    if stored == Origin::Unknown && (unanswered || !read) {
        return (Found::Unanswered, source);
    }
    (Found::Origin(stored), source)
}

/// Routers that are asked for a stream: its keepers, then others.
fn asked(node: &Node, stream: Stream) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let link = node.settings.link;
    let state = node.state.borrow();
    let keepers = state.members.keepers(stream.0);
    let mut keepers: Vec<_> = keepers.iter().map(|it| it.address).collect();
    let others = state.members.others().map(|it| it.address);
    let mut others: Vec<_> = others.filter(|it| !keepers.contains(it)).collect();
    others.sort_unstable();
    if others.len() > MAX_ASKED {
        let first = usize::try_from(stream.0 % others.len() as u64).unwrap_or_default();
        others.rotate_left(first);
        others.truncate(MAX_ASKED);
    }
    keepers.retain(|it| *it != link);
    (keepers, others)
}

/// Asks routers for the version that began a stream; returns once it was found or all have answered.
async fn ask(node: &Rc<Node>, stream: Stream, mut asked: Vec<SocketAddr>) -> Found {
    let mut query = Query::new(node, stream);
    for _ in 0..MAX_QUERIES {
        if asked.is_empty() {
            break;
        }
        node.send_all(&asked, Content::StreamQuery(stream));
        let until = node.now() + ANSWER_TIME.max(longest_round_trip(node, &asked));
        while let Some((from, origin)) = query.receive(until).await {
            if origin != Origin::Unknown {
                return Found::Origin(origin);
            }
            asked.retain(|it| *it != from);
            if asked.is_empty() {
                break;
            }
        }
    }
    if asked.is_empty() {
        Found::Origin(Origin::Unknown)
    } else {
        Found::Unanswered
    }
}

fn longest_round_trip(node: &Node, addresses: &[SocketAddr]) -> Duration {
    let state = node.state.borrow();
    let domains = addresses.iter().filter_map(|it| state.members.domain(*it));
    let times = domains.filter_map(|it| state.round_trips.to(&it));
    times.map(|it| it.timeout).max().unwrap_or_default()
}

/// A query that waits for answers until it is dropped.
struct Query<'a> {
    node: &'a Rc<Node>,
    stream: Stream,
    number: u64,
    answers: mpsc::UnboundedReceiver<(SocketAddr, Origin)>,
}

impl<'a> Query<'a> {
    fn new(node: &'a Rc<Node>, stream: Stream) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        let number = node.queries.next.get();
        node.queries.next.set(number + 1);
        let mut waiting = node.queries.waiting.borrow_mut();
        waiting.entry(stream).or_default().insert(number, sender);
        drop(waiting);
        Self {
            node,
            stream,
            number,
            answers,
        }
    }

    async fn receive(&mut self, until: Duration) -> Option<(SocketAddr, Origin)> {
        if let Some(answer) = self.node.timeout_at(until, self.answers.recv()).await {
            return answer;
        }
        // On a late router, timers fire before the messages that came in time have been read.
        inbound::receive_batch(self.node);
        self.answers.try_recv().ok()
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        let mut waiting = self.node.queries.waiting.borrow_mut();
        if let Some(queries) = waiting.get_mut(&self.stream) {
            queries.remove(&self.number);
            if queries.is_empty() {
                waiting.remove(&self.stream);
            }
        }
    }
}

/// Answers another router's query.
pub(crate) fn receive_query(node: &Node, from: SocketAddr, stream: Stream) {
    let now = node.now();
    let origin = node.state.borrow().streams.origin(stream, now);
    node.send(from, Content::StreamAnswer(Answer::new(stream, origin)));
}

/// Delivers an answer to the queries that wait for it.
pub(crate) fn receive_answer(node: &Node, from: SocketAddr, answer: Answer) {
    let waiting = node.queries.waiting.borrow();
    for sender in waiting
        .get(&answer.stream)
        .into_iter()
        .flat_map(HashMap::values)
    {
        // A query that has ended needs no answer.
        sender.send((from, answer.origin)).ok();
    }
}
