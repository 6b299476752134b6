//! A request against the configuration in force: its route, customer and service, and what follows
//! for its deadline, its cost and its content.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::configuration::{Route, Table};
use dunlinward_dispatch::content::{Digest, Endpoint};
use dunlinward_dispatch::share;
use hyper::header::HOST;
use hyper::http::request;
use xxhash_rust::xxh64::xxh64;

use crate::attempt::Job;
use crate::dialect::Call;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// Time after which a caller may come back if nothing is known yet.
const UNKNOWN_RETURN: Duration = Duration::from_millis(500);

/// What the configuration in force says of a request.
pub(crate) struct Admission {
    pub(crate) table: Rc<Table>,
    pub(crate) route: Arc<Route>,
    customer: Option<Arc<str>>,
    service: Arc<str>,
}

/// The host that a request names, without a port.
fn host(head: &request::Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// The digest of what a request asks.
fn content(head: &request::Parts, customer: Option<&str>, body: &[u8]) -> Digest {
    let path = head.uri.path_and_query();
    let address = Endpoint {
        method: head.method.as_str(),
        host: host(head),
        path: path.map_or("", |it| it.as_str()),
    };
    Digest::new(address, customer, body)
}

/// Checks a request against the configuration in force.
pub(crate) fn admit(
    node: &Rc<Node>,
    head: &request::Parts,
    call: &Call,
) -> Result<Admission, Refusal> {
    let Some(table) = node.table() else {
        return Err(Refusal::new(Reason::NoConfiguration).with_retry_after(UNKNOWN_RETURN));
    };
    let route = table.route(host(head), head.uri.path()).cloned();
    let route = route.ok_or_else(|| Refusal::new(Reason::NoRoute))?;
    let key = call.key.as_deref();
    let customer = key.and_then(|key| table.customer(key)).cloned();
    if table.has_customers() && !route.anonymous && customer.is_none() {
        return Err(Refusal::new(Reason::UnknownKey));
    }
    let draw = xxh64(call.id.as_bytes(), 0);
    let service = route.service(draw).cloned();
    let service = service.ok_or_else(|| Refusal::new(Reason::NoTarget))?;
    Ok(Admission {
        table,
        route,
        customer,
        service,
    })
}

/// The request, as it may be sent.
pub(crate) fn job(
    node: &Rc<Node>,
    head: request::Parts,
    body: Bytes,
    call: Call,
    admission: Admission,
    arrived: Duration,
) -> Job {
    let Admission {
        table,
        route,
        customer,
        service,
    } = admission;
    let engine = table
        .service(&service)
        .is_some_and(|it| it.engine.is_some());
    let left = call.left.unwrap_or(route.timeout);
    let prompt = call.prompt.filter(|_| engine);
    let prompt = prompt.map(|it| Rc::new(it.compact()));
    let cost = prompt.as_deref().map_or(0, share::cost);
    let regions = &node.settings.regions;
    let of_customer = customer.as_deref().and_then(|it| table.regions_of(it));
    let allowed = regions.allowed(&route.regions);
    let allowed = allowed.and(regions.allowed(of_customer.unwrap_or_default()));
    let now = node.now();
    let returning = {
        let mut state = node.state.borrow_mut();
        state.budget.record_request(&service, now);
        state.retries.record(&route.name, left, route.timeout)
    };
    Job {
        id: call.id,
        content: content(&head, customer.as_deref(), &body),
        head,
        body,
        deadline: arrived + left.min(route.timeout),
        route,
        service,
        customer,
        allowed,
        prompt,
        cost,
        caller_waits: left,
        returning,
        arrived,
        resume_after: call.resume_after,
    }
}
