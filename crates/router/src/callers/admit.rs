//! From a caller's request to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use dunlinward_config::file::Kind;
use dunlinward_kernel::event::{Arrival, Class};
use dunlinward_kernel::id;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::sync::mpsc::Receiver;
use xxhash_rust::xxh64::xxh64;

use super::bodies::{Bodies, Buffer, Charge, GivenUp};
use super::body::{Guard, Payload};
use super::parse::{self, Extra, Wish};
use crate::call::{Call, Shape};
use crate::clock::Clock;
use crate::current::{Cell, Current};
use crate::driver::{Entry, Input};
use crate::idempotency::{Answer, Claims, Found, Scope, Ticket};
use crate::metrics::Metrics;
use crate::refusal::{Notice, REQUEST_ID, Reason};
use crate::reply::{Head, Part, Sink};

/// Header of an answer that was given before.
const REPLAYED: &str = "x-dunlinward-replayed";

/// What the callers' port needs of the router.
pub(crate) struct Desk {
    /// Beginning of every request id.
    pub prefix: Arc<str>,
    /// The configuration in force.
    pub cell: Arc<Cell>,
    /// The driver's inbox.
    pub driver: Sender<Input>,
    /// Claims on idempotency keys.
    pub claims: Arc<dyn Claims>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The router's clock.
    pub clock: Clock,
    /// Most connections.
    pub connections: usize,
    /// Time for a head and for a body.
    pub header_timeout: Duration,
    /// Largest body in bytes.
    pub body_limit: usize,
    /// All bodies.
    pub bodies: Arc<Bodies>,
    /// Requests numbered so far.
    pub count: AtomicU64,
}

/// A request that was given to the driver.
struct Admission {
    parts: Receiver<Part>,
    guard: Guard,
    shape: Shape,
    class: Class,
}

/// Why a request is answered without the driver.
enum Early {
    Refused(Reason),
    Replayed(Box<Answer>),
}

impl From<GivenUp> for Reason {
    fn from(_: GivenUp) -> Self {
        Self::BodiesFull
    }
}

impl From<GivenUp> for Early {
    fn from(error: GivenUp) -> Self {
        Self::Refused(error.into())
    }
}

impl From<Reason> for Early {
    fn from(reason: Reason) -> Self {
        Self::Refused(reason)
    }
}

impl Desk {
    /// Answers one request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Payload> {
        let arrived = Instant::now();
        let number = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let name: Arc<str> = Arc::from(format!("{}-{number}", self.prefix));
        let (parts, body) = request.into_parts();
        match self.admit(number, &name, parts, body).await {
            Ok(admission) => self.wait(admission, &name, arrived).await,
            Err(Early::Refused(reason)) => self.refuse(reason, &name),
            Err(Early::Replayed(answer)) => replay(*answer, &name),
        }
    }

    /// The id of a request that was never read.
    pub fn unread(&self) -> String {
        let number = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{}-{number}", self.prefix)
    }

    fn refuse(&self, reason: Reason, name: &str) -> Response<Payload> {
        self.metrics.edge_refused(reason);
        log::info!(request = name, reason = reason.name(); "refused");
        let answer = Notice::edge(reason).answer(name);
        let mut response = respond(answer.head, Payload::Whole(Some(answer.body)));
        if matches!(
            reason,
            Reason::BodyTooLarge | Reason::BodyTimeout | Reason::BodiesFull
        ) {
            // The rest of the body is still under way.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn admit(
        &self,
        number: u64,
        name: &Arc<str>,
        parts: Parts,
        body: Incoming,
    ) -> Result<Admission, Early> {
        let current = self.cell.get().ok_or(Reason::NotConfigured)?;
        let key = parse::bearer(&parts.headers)?;
        let customer = current.config.customer_of(key).ok_or(Reason::KeyWrong)?;
        let extra = parse::extra(&parts.headers)?;
        let charge = Charge::new(&self.bodies, &customer.name);
        let body = self.read(&current, body, &charge).await?;
        let wish = parse::wish(&current, &parts, &extra, &body)?;
        let class = extra.class.unwrap_or_else(|| parse::class(wish.service));
        let request = id::Request(number);
        let arrival = self
            .arrival(
                request,
                &current,
                &customer.name,
                &wish,
                &extra,
                &parts,
                class,
            )
            .ok_or(Reason::NotConfigured)?;
        let scope = scope(&customer.name, &wish, &extra, arrival.repeatable);
        charge.pin()?;
        let ticket = self.claim(&current, scope, &parts, &body)?;
        let (sink, receiver) = Sink::new();
        let call = Call {
            request,
            name: Arc::clone(name),
            customer: Arc::clone(&customer.name),
            service: Arc::clone(&wish.service.name),
            method: parts.method,
            path: wish.path,
            headers: parts.headers,
            body,
            _charge: charge,
            shape: wish.shape,
            sink,
            ticket,
        };
        let shape = call.shape;
        let entry = Entry::new(Arc::new(call), arrival, self.clock.now());
        self.driver
            .send(Input::Call(Box::new(entry)))
            .map_err(|_| Reason::Stopping)?;
        Ok(Admission {
            parts: receiver,
            guard: Guard::new(request, self.driver.clone()),
            shape,
            class,
        })
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each is another part of one request"
    )]
    fn arrival(
        &self,
        request: id::Request,
        current: &Current,
        customer: &str,
        wish: &Wish<'_>,
        extra: &Extra,
        parts: &Parts,
        class: Class,
    ) -> Option<Arrival> {
        let model = wish.model.as_deref();
        Some(Arrival {
            request,
            customer: current.table.customer(customer)?,
            service: current.table.service(&wish.service.name)?,
            model: model.and_then(|model| current.table.model(model)),
            class,
            hint: wish.hint,
            repeatable: wish.service.is_repeatable(parts.method.as_str()),
            deadline: extra.deadline.map(|time| self.clock.now() + time),
            prefix: wish.prefix.clone(),
        })
    }

    async fn read(
        &self,
        current: &Current,
        body: Incoming,
        charge: &Charge,
    ) -> Result<Bytes, Reason> {
        let configured = current.config.limits.body_bytes;
        let limit =
            usize::try_from(configured).map_or(self.body_limit, |bytes| bytes.min(self.body_limit));
        if body.size_hint().lower() > limit as u64 {
            return Err(Reason::BodyTooLarge);
        }
        let read = async {
            tokio::select! {
                biased;
                () = charge.given_up() => Err(Reason::BodiesFull),
                read = copy(Limited::new(body, limit), charge) => read,
            }
        };
        let read = tokio::time::timeout(self.header_timeout, read).await;
        read.unwrap_or(Err(Reason::BodyTimeout))
    }

    fn claim(
        &self,
        current: &Current,
        scope: Option<Scope>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<Option<Ticket>, Early> {
        let Some(scope) = scope else {
            return Ok(None);
        };
        let keep = current.config.limits.idempotency_window();
        let claims = Arc::clone(&self.claims);
        match claims.claim(scope, content(parts, body), keep) {
            Found::New(ticket) => Ok(Some(ticket)),
            Found::Running => Err(Reason::KeyRunning.into()),
            Found::Unsure => Err(Reason::KeyUnsure.into()),
            Found::Ran(Some(answer)) => Err(Early::Replayed(Box::new(answer))),
            Found::Ran(None) => Err(Reason::KeyRan.into()),
            Found::Mismatch => Err(Reason::KeyMismatch.into()),
            Found::Full => Err(Reason::KeysFull.into()),
        }
    }

    async fn wait(
        &self,
        mut admission: Admission,
        name: &str,
        arrived: Instant,
    ) -> Response<Payload> {
        let Some(Part::Head(head)) = admission.parts.recv().await else {
            admission.guard.over();
            return self.refuse(Reason::Lost, name);
        };
        if head.status.is_success() {
            let class = match admission.class {
                Class::Quick => "quick",
                Class::Long => "long",
            };
            self.metrics.first_part(class, arrived.elapsed());
        }
        if admission.shape == Shape::Stream && head.status.is_success() {
            return respond(head, Payload::Parts(admission.parts, admission.guard));
        }
        match whole(&mut admission).await {
            Some(body) => respond(head, Payload::Whole(Some(body))),
            None => self.refuse(Reason::Lost, name),
        }
    }
}

/// Reads a body within its limit and its charge.
async fn copy(mut body: Limited<Incoming>, charge: &Charge) -> Result<Bytes, Reason> {
    let mut buffer = Buffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            if err.is::<LengthLimitError>() {
                Reason::BodyTooLarge
            } else {
                Reason::BodyMalformed
            }
        })?;
        if let Ok(data) = frame.into_data() {
            buffer.push(&data, charge)?;
        }
    }
    Ok(buffer.complete())
}

/// The body of an answer that is not streamed; nothing when it was cut.
async fn whole(admission: &mut Admission) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match admission.parts.recv().await {
            Some(Part::Data(bytes)) => body.extend_from_slice(&bytes),
            Some(Part::End) => {
                admission.guard.over();
                return Some(body.freeze());
            }
            Some(Part::Head(_)) | None => {
                admission.guard.over();
                return None;
            }
        }
    }
}

/// What an idempotency key belongs to; only calls of plain services that may not
/// be repeated need a claim.
fn scope(customer: &Arc<str>, wish: &Wish<'_>, extra: &Extra, repeatable: bool) -> Option<Scope> {
    let key = extra.key.as_deref()?;
    (wish.service.kind == Kind::Plain && !repeatable).then(|| Scope {
        customer: Arc::clone(customer),
        service: Arc::clone(&wish.service.name),
        key: Arc::from(key),
    })
}

/// A digest of what a request would do.
fn content(parts: &Parts, body: &Bytes) -> u64 {
    let head = format!("{} {}", parts.method, parts.uri);
    xxh64(body, xxh64(head.as_bytes(), 0))
}

fn replay(answer: Answer, name: &str) -> Response<Payload> {
    let mut head = answer.head;
    head.headers.insert(REPLAYED, HeaderValue::from_static("1"));
    if let Ok(id) = HeaderValue::from_str(name) {
        head.headers.insert(REQUEST_ID, id);
    }
    respond(head, Payload::Whole(Some(answer.body)))
}

fn respond(head: Head, payload: Payload) -> Response<Payload> {
    let mut response = Response::new(payload);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
