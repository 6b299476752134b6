//! Admission of requests under the configuration in force.
//!
//! Admission determines a request's route, customer and service, and from these its deadline, its
//! cost and its content digest.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::configuration::{Route, Table};
use dunlinward_dispatch::content::{Digest, Endpoint};
use dunlinward_dispatch::memory::Holder;
use dunlinward_dispatch::share;
use hyper::header::HOST;
use hyper::http::request;
use xxhash_rust::xxh64::xxh64;

use crate::attempt::Job;
use crate::dialect::Call;
use crate::held::Buffer;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// `Retry-After` of requests that are refused before a configuration is known.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Route, customer and service of a request under the configuration in force.
pub(crate) struct Admission {
    pub(crate) table: Rc<Table>,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<str>>,
    service: Arc<str>,
}

impl Admission {
    /// Whether an engine runs the service.
    fn has_engine(&self) -> bool {
        let service = self.table.service(&self.service);
        service.is_some_and(|it| it.engine.is_some())
    }

    /// Holder of what this router keeps for a request.
    pub(crate) fn holder(&self) -> Holder {
        self.customer.as_ref().map(share::tag)
    }

    /// Tokens charged to the customer of a request.
    pub(crate) fn cost(&self, call: &Call) -> u64 {
        let prompt = call.prompt.as_ref().filter(|_| self.has_engine());
        prompt.map_or(0, share::cost)
    }
}

/// Host of a request, without the port; empty if it names none.
fn host(head: &request::Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Digest of a request's content.
fn digest(head: &request::Parts, customer: Option<&str>, body: &Buffer) -> Digest {
    let path = head.uri.path_and_query();
    let endpoint = Endpoint {
        method: head.method.as_str(),
        host: host(head),
        path: path.map_or("", |it| it.as_str()),
    };
    Digest::of_segments(endpoint, customer, body.segments())
}

/// Checks a request against the configuration in force.
///
/// # Errors
///
/// If there is no configuration, no route or no service for the request, or if its key is missing
/// or unknown.
pub(crate) fn admit(
    node: &Rc<Node>,
    head: &request::Parts,
    call: &Call,
) -> Result<Admission, Refusal> {
    let Some(table) = node.table() else {
        return Err(
            Refusal::new(Reason::NoConfiguration).with_retry_after(NO_CONFIGURATION_RETRY_AFTER)
        );
    };
    let route = table.route(host(head), head.uri.path()).cloned();
    let route = route.ok_or_else(|| Refusal::new(Reason::NoRoute))?;
    let key = call.key.as_deref();
    let customer = key.and_then(|key| table.customer(key)).cloned();
    if table.has_customers() && !route.anonymous && customer.is_none() {
        return Err(Refusal::new(Reason::UnknownKey));
    }
    // A stream is resumed at the service that began it, also if its route is split.
    let attempt = call.resumes.as_ref().unwrap_or(&call.id);
    let draw = xxh64(attempt.as_bytes(), 0);
    let service = route.service(draw).cloned();
    let service = service.ok_or_else(|| Refusal::new(Reason::NoTarget))?;
    Ok(Admission {
        table,
        route,
        customer,
        service,
    })
}

/// Records the timeout of a request; returns whether the request is a retry.
pub(crate) fn record_timeout(node: &Rc<Node>, call: &Call, admission: &Admission) -> bool {
    let route = &admission.route;
    let timeout = call.timeout.unwrap_or(route.timeout);
    let mut state = node.state.borrow_mut();
    state.retries.record(&route.name, timeout, route.timeout)
}

/// Creates the job of an admitted request whose body was read.
pub(crate) fn job(
    node: &Rc<Node>,
    head: request::Parts,
    body: Rc<Buffer>,
    call: Call,
    admission: Admission,
    returning: bool,
    arrived: Duration,
) -> Job {
    let engine = admission.has_engine();
    let cost = admission.cost(&call);
    let Admission {
        table,
        route,
        customer,
        service,
    } = admission;
    let timeout = call.timeout.unwrap_or(route.timeout);
    let prompt = call.prompt.filter(|_| engine);
    let prompt = prompt.map(|it| Rc::new(it.compact()));
    let regions = &node.settings.regions;
    let customer_regions = customer.as_deref().and_then(|it| table.regions_of(it));
    let allowed = regions.allowed(&route.regions);
    let allowed = allowed.and(regions.allowed(customer_regions.unwrap_or_default()));
    let now = node.now();
    let elapsed = {
        let mut state = node.state.borrow_mut();
        state.budget.record_request(&service, now);
        let elapsed = state.retries.since_first_attempt(&route.name, timeout);
        elapsed.filter(|_| returning).unwrap_or_default()
    };
    Job {
        id: call.id,
        content: digest(&head, customer.as_deref(), &body),
        head,
        body,
        deadline: arrived + timeout.min(route.timeout),
        route,
        service,
        customer,
        allowed,
        prompt,
        cost,
        caller_timeout: timeout,
        returning,
        arrived,
        first_attempt: arrived.saturating_sub(elapsed),
        resume_after: call.resume_after,
        resumes: call.resumes,
        binding: Cell::default(),
        may_have_run: Cell::default(),
        progress: None,
        _place: None,
    }
}
