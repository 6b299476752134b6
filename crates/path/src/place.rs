//! Finds a request a place at a target.
//!
//! The owner of a cell places its requests, as it alone knows all that its targets
//! have to do. A request is put to the owner in one datagram; the answer is a place,
//! or that the request waits there. While it waits it is put again from time to
//! time, so that a lost answer is made good. An owner that doesn't answer is passed
//! over, and the next one is asked; when that one is silent too, this router places
//! the request itself, with the part of the room that is its own if all routers did so.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::message::{Content, Grant, Request, Wait};
use dunlinward_dispatch::round_trip::RoundTrip;
use dunlinward_dispatch::share::Standing;
use dunlinward_dispatch::target::{Tag, Target};
use tokio::sync::mpsc;

use crate::inbox;
use crate::lease::{Giver, Lease, Place};
use crate::node::Node;
use crate::pending::Answer;
use crate::reply::{Reason, Refusal};
use crate::state::{Availability, Claim, Exclusion, PlaceRequest};

/// Part of its objective within which a request must be answered by an owner.
const ANSWER_PART: f64 = 0.1;

/// Shortest such time: some round trips between failure domains.
const ANSWER_LEAST: Duration = Duration::from_millis(12);

/// Longest such time: more is worth losing to a busy owner than to one that is gone.
const ANSWER_MOST: Duration = Duration::from_millis(30);

/// Part of its objective that a request may spend on the way to an owner and back.
const WAY_PART: f64 = 0.25;

/// Times that one owner is asked before the next one is.
const TRIES: u32 = 2;

/// Owners that are asked before a router places a request itself.
const OWNERS: u32 = 2;

/// How often a request that waits is put to its owner again.
const RENEWAL: Duration = Duration::from_millis(100);

/// Time over which callers come back to targets that want nothing until some moment.
const RETURN_SPREAD: Duration = Duration::from_millis(300);

/// How asking an owner ended.
enum Asked {
    Placed(Lease),
    GivenUp(Option<Wait>),
    Unanswered,
    /// The owner gave a place at a target of which this router knows better.
    Barred(Tag),
}

impl Node {
    /// Finds a target for a request, now or until it is given up.
    ///
    /// # Errors
    ///
    /// A refusal if there is no room in time.
    pub async fn place(self: &Rc<Self>, mut wish: PlaceRequest) -> Result<Lease, Refusal> {
        if let Some(refusal) = self.in_vain(&wish) {
            return Err(refusal);
        }
        let mut unanswered = 0;
        while unanswered < OWNERS {
            let owner = self.owner(&wish);
            if owner == self.settings.link {
                return self.place_here(wish).await;
            }
            match self.ask(owner, &wish).await {
                Asked::Placed(lease) => return Ok(lease),
                Asked::GivenUp(wait) => return Err(self.refusal(wait).with_owner(owner)),
                // Each names another target, so this ends.
                Asked::Barred(tag) if !wish.avoid.contains(&tag) => self.avoid(&mut wish, tag),
                Asked::Barred(_) | Asked::Unanswered => unanswered += 1,
            }
            wish.demand_counted = true;
        }
        self.metrics.add("placed_alone", "unanswered", 1);
        wish.claim = Claim::Own;
        self.place_here(wish).await
    }

    /// The refusal of a request for which no target can be had in its time. Callers come back one after
    /// the other once one can.
    fn in_vain(&self, wish: &PlaceRequest) -> Option<Refusal> {
        let now = self.now();
        let opening = self.state.borrow().availability(wish.cell, now);
        match opening {
            Availability::Never => Some(Refusal::new(Reason::NoTarget)),
            Availability::Now | Availability::At(_) => {
                let closed_for = opening.unavailable_for(wish, now);
                closed_for.map(|it| self.backed_off(it))
            }
        }
    }

    /// The refusal of a request whose targets want nothing for a time.
    pub(crate) fn backed_off(&self, time: Duration) -> Refusal {
        let spread = RETURN_SPREAD.mul_f64(self.draw_part());
        Refusal::new(Reason::BackedOff).with_retry_after(time + spread)
    }

    /// The owner does not know of a target that must get nothing of this router, so it may not know of
    /// the others either.
    fn avoid(&self, wish: &mut PlaceRequest, tag: Tag) {
        wish.avoid.push(tag);
        let backed_off = self.state.borrow().backed_off(wish.cell, self.now());
        let more = backed_off.into_iter().filter(|it| *it != tag);
        wish.avoid.extend(more);
    }

    fn owner(&self, wish: &PlaceRequest) -> SocketAddr {
        let state = self.state.borrow();
        state.members.owner(wish.cell, self.now())
    }

    async fn ask(self: &Rc<Self>, owner: SocketAddr, wish: &PlaceRequest) -> Asked {
        let mut question = Question::new(self, owner);
        let way = self.way_to(owner);
        let time = answer_time(wish, way);
        // What the way takes is no waiting for room.
        let until = wish.deadline + way.mean.min(longest_answer(wish));
        let mut silent = 0;
        let mut waits = None;
        loop {
            question.put(wish);
            match question.listen(time, until).await {
                Some(Answer::Grant(grant)) => return question.accept(wish, grant),
                Some(Answer::Wait(wait)) if wait.unavailable_for.is_some() => {
                    return Asked::GivenUp(Some(wait));
                }
                Some(Answer::Wait(wait)) => {
                    silent = 0;
                    waits = Some(wait);
                    let next = question.listen(RENEWAL, until).await;
                    if let Some(Answer::Grant(grant)) = next {
                        return question.accept(wish, grant);
                    }
                }
                None => silent += 1,
            }
            if self.now() >= until {
                return Asked::GivenUp(waits);
            }
            if silent > 0 {
                let passed = self.missed(owner);
                if passed || silent >= TRIES {
                    return Asked::Unanswered;
                }
            }
        }
    }

    /// How long the way to a router and back takes; nothing as long as that is not known.
    fn way_to(&self, owner: SocketAddr) -> RoundTrip {
        let state = self.state.borrow();
        let domain = state.members.domain(owner);
        let way = domain.and_then(|it| state.round_trips.to(&it));
        way.unwrap_or_default()
    }

    /// The refusal of a request that its owner had no place for.
    fn refusal(&self, wait: Option<Wait>) -> Refusal {
        let standing = wait.and_then(|it| it.standing);
        let closed_for = wait.and_then(|it| it.unavailable_for);
        let refusal = match closed_for {
            Some(time) => self.backed_off(time),
            None => Refusal::new(reason(standing)),
        };
        refusal.with_standing(standing)
    }

    fn missed(&self, owner: SocketAddr) -> bool {
        self.metrics.add("owner_misses", "unanswered", 1);
        let passed = self
            .state
            .borrow_mut()
            .members
            .record_miss(owner, self.now());
        if passed {
            let line = self.journal.line("owner_passed_over");
            drop(line.with("peer", owner.to_string()));
        }
        passed
    }

    /// Takes an owner's answer; a place that nobody waits for is given back.
    pub(crate) fn answer(&self, from: SocketAddr, number: u64, answer: Answer) {
        self.state.borrow_mut().members.record_answer(from);
        if !self.pending.answer(number, answer) {
            if let Some(time) = self.pending.note_late(number, &answer, self.now()) {
                self.metrics
                    .time("late_answer_seconds", answer.label(), time);
            }
            self.give_back(from, answer);
        }
    }

    /// Says that a place is not used, also if that was said before: the word may have been lost.
    fn give_back(&self, giver: SocketAddr, answer: Answer) {
        if let Answer::Grant(grant) = answer {
            self.send(giver, Content::Withdraw(grant.number));
        }
    }
}

/// How long an owner may take to answer: longer than usual only where the way to it is longer.
fn answer_time(wish: &PlaceRequest, way: RoundTrip) -> Duration {
    let time = wish.objective.mul_f64(ANSWER_PART);
    let time = time.clamp(ANSWER_LEAST, ANSWER_MOST);
    time.max(way.timeout.min(longest_answer(wish)))
}

/// The longest way to an owner that leaves enough of the objective for the answer itself.
fn longest_answer(wish: &PlaceRequest) -> Duration {
    wish.objective.mul_f64(WAY_PART)
}

/// Why a request that found no room is refused.
#[must_use]
pub fn reason(standing: Option<Standing>) -> Reason {
    let beyond = standing.is_some_and(|it| it.level.is_some_and(|level| it.granted >= level));
    if beyond {
        Reason::OverShare
    } else {
        Reason::Busy
    }
}

/// A request that has been put to an owner. Dropping it withdraws the request, and with it a place
/// that it may have been given.
struct Question<'a> {
    node: &'a Rc<Node>,
    owner: SocketAddr,
    number: u64,
    /// When it was first put.
    asked: Duration,
    answers: mpsc::UnboundedReceiver<Answer>,
    accepted: bool,
}

impl<'a> Question<'a> {
    fn new(node: &'a Rc<Node>, owner: SocketAddr) -> Self {
        let (number, answers) = node.pending.put();
        Self {
            node,
            owner,
            number,
            asked: node.now(),
            answers,
            accepted: false,
        }
    }

    fn put(&self, wish: &PlaceRequest) {
        let now = self.node.now();
        let ask = Request {
            number: self.number,
            cell: wish.cell,
            content: wish.content,
            prompt: wish.prompt.as_deref().cloned(),
            customer: wish.customer,
            cost: wish.cost,
            objective: wish.objective,
            waited: now.saturating_sub(wish.arrived),
            max_wait: wish.deadline.saturating_sub(now),
            is_retry: wish.is_retry,
            demand_counted: wish.demand_counted,
            failed: wish.failed,
            avoid: wish.avoid.clone(),
        };
        self.node.send(self.owner, Content::Request(ask));
    }

    async fn listen(&mut self, time: Duration, until: Duration) -> Option<Answer> {
        let limit = until.min(self.node.now() + time);
        if let Some(answer) = self.node.until(limit, self.answers.recv()).await {
            return answer;
        }
        // Timers of a router that is late fire before it has read what came in time. A turn of the
        // event loop, at the end of the wait, says what has come, and it is read here, as the reader of all messages may have
        // its turn only after this: customers with a late router got 0.84 to 0.94 of the best
        // served one in six seconds, and 0.63 to 0.91 without; places that came too late fell from
        // 12 to 25 M tokens to 3 to 4 M (24 s of a flood, 85 routers).
        inbox::read(self.node);
        self.answers.try_recv().ok()
    }

    fn accept(mut self, wish: &PlaceRequest, grant: Grant) -> Asked {
        self.accepted = true;
        let now = self.node.now();
        let known = self.node.state.borrow().registry.get(grant.tag).cloned();
        // The views of routers differ for the time of a greeting.
        let Some(target) = known else {
            self.node.metrics.add("places_unknown", "target", 1);
            self.node.give_back(self.owner, Answer::Grant(grant));
            return Asked::Unanswered;
        };
        let state = self.node.state.borrow();
        let bar = state.exclusion(&target, wish.allowed, now);
        drop(state);
        if let Some(bar) = bar {
            self.refuse(grant, &target, bar);
            return Asked::Barred(grant.tag);
        }
        let fetch = {
            let mut state = self.node.state.borrow_mut();
            state.accept_grant(wish, &grant, now);
            let source = grant.fetch.and_then(|it| state.registry.get(it));
            let source = source.filter(|it| wish.allowed.admits(state.registry.region_of(it)));
            source.map(|it| it.address)
        };
        let place = Place {
            target,
            cell: wish.cell,
            unread: grant.unread,
            hit: grant.hit,
            fetch,
            owner: self.owner,
            giver: Giver::Peer {
                address: self.owner,
                number: grant.number,
            },
            content: wish.content,
            standing: grant.standing,
        };
        self.node.pending.accept(self.owner, grant.number);
        Asked::Placed(Lease::new(self.node, place))
    }
}

impl Question<'_> {
    /// Gives a place back that must not be used.
    fn refuse(&self, grant: Grant, target: &Target, bar: Exclusion) {
        let node = self.node;
        node.metrics.add("places_barred", bar.name(), 1);
        let line = node.journal.line("place_refused");
        let line = line.with("owner", self.owner.to_string());
        let line = line.with("target", target.id.as_ref());
        drop(line.with("reason", bar.name()));
        node.give_back(self.owner, Answer::Grant(grant));
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.node.pending.close(self.number);
        if !self.accepted {
            self.node.pending.give_up(self.number, self.asked);
            self.node.send(self.owner, Content::Withdraw(self.number));
        }
    }
}
