//! The dialing end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant as Clock;

use bytes::Bytes;
use h2::client::{Builder, Connection, SendRequest};
use http::{Method, Request, Uri};
use snafu::ensure;
use tokio::time::{Instant, sleep, timeout_at};

use crate::batch::Batch;
use crate::hello::{Answer, Dialer, InstanceSnafu, MalformedSnafu, Refusal};
use crate::link::channel::{BUDGET, Reader, WINDOW, Writer};
use crate::link::meter::Meter;
use crate::link::peer::Peer;
use crate::link::session::{self, Opened, Origin};
use crate::link::shared::Shared;

/// Target of the one request; only its shape matters.
const TARGET: &str = "http://link/";

/// Dials a peer while messages wait for it and no session carries them.
pub(super) async fn run(shared: Arc<Shared>, peer: Arc<Peer>) {
    while let Some(address) = peer.next_dial(Clock::now(), &shared.counter) {
        if let Err(refusal) = attempt(&shared, &peer, address).await {
            log::debug!("no link to {} at {address}: {refusal}", peer.instance);
            shared.counter.refused(refusal);
        }
        let failures = peer.fail();
        sleep(shared.pause(failures)).await;
    }
    shared.forget_unused(&peer);
}

/// Opens a session and runs it until it closes.
async fn attempt(shared: &Arc<Shared>, peer: &Peer, address: SocketAddr) -> Result<(), Refusal> {
    let deadline = Instant::now() + shared.limits.hello;
    let opened = timeout_at(deadline, open(shared, address)).await;
    let (requests, connection) = opened.unwrap_or(Err(Refusal::Timeout))?;
    let hello = hello(shared, peer, requests);
    session::serve(shared, Origin::Dialed, deadline, drive(connection), hello).await
}

async fn open(
    shared: &Shared,
    address: SocketAddr,
) -> Result<(SendRequest<Bytes>, Connection<Meter, Bytes>), Refusal> {
    let counter = Arc::clone(&shared.counter);
    let meter = Meter::connect(address, counter, shared.limits.dead)
        .await
        .map_err(|_| Refusal::Connect)?;
    Builder::new()
        .enable_push(false)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .data_frame_budget(BUDGET)
        .handshake(meter)
        .await
        .map_err(|_| Refusal::Closed)
}

async fn hello(
    shared: &Shared,
    peer: &Peer,
    requests: SendRequest<Bytes>,
) -> Result<Opened, Refusal> {
    let mut requests = requests.ready().await.map_err(|_| Refusal::Closed)?;
    let (response, body) = requests
        .send_request(request(), false)
        .map_err(|_| Refusal::Closed)?;
    let mut writer = Writer::new(body);
    let dialer = Dialer::new(shared.key.clone(), shared.hello());
    writer.hello(dialer.hello()).await?;
    let response = response.await.map_err(|_| Refusal::Closed)?;
    let mut reader = Reader::new(response.into_body());
    let answer: Answer = reader.hello().await?;
    let (confirm, mut session) = dialer.finish(answer)?;
    let expected = session.peer.instance == peer.instance;
    ensure!(expected, InstanceSnafu);
    writer.hello(&confirm).await?;
    let welcome = reader.first().await?;
    let payload = session.opener.open(welcome).map_err(|_| Refusal::Key)?;
    let welcome = Batch::decode(&payload)?;
    ensure!(welcome == Batch::default(), MalformedSnafu);
    Ok(Opened {
        session,
        reader,
        writer,
    })
}

fn request() -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(TARGET);
    request
}

/// Drives the connection to its end.
async fn drive(connection: Connection<Meter, Bytes>) {
    if let Err(error) = connection.await {
        log::debug!("link ended: {error}");
    }
}
