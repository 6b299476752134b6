//! The accepting end.
//!
//! A stranger can hold a place only for the time of a hello, and only as many
//! places as may be opening at once. Further connections are closed at once.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Builder, Connection};
use http::Response;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout_at};

use crate::hello::{Acceptor, Confirm, Hello, Refusal};
use crate::link::channel::{BUDGET, Reader, WINDOW, Writer};
use crate::link::meter::Meter;
use crate::link::session::{self, Opened, Origin};
use crate::link::shared::Shared;

/// Pause after the system refused to accept, as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(100);

/// Most bytes of a request's header list.
const MAX_HEADERS: u32 = 1024;

/// Accepts connections for as long as the pool lives.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("cannot accept links: {error}"),
    };
    let places = Arc::new(Semaphore::new(shared.limits.opening));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&shared, &places, stream),
            Err(error) => {
                log::warn!("cannot accept a link: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn admit(shared: &Arc<Shared>, places: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(place) = Arc::clone(places).try_acquire_owned() else {
        shared.counter.refused(Refusal::Busy);
        return;
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        if let Err(refusal) = serve(&shared, stream, place).await {
            log::debug!("refused a link: {refusal}");
            shared.counter.refused(refusal);
        }
    });
}

async fn serve(
    shared: &Arc<Shared>,
    stream: TcpStream,
    place: OwnedSemaphorePermit,
) -> Result<(), Refusal> {
    let deadline = Instant::now() + shared.limits.hello;
    let counter = Arc::clone(&shared.counter);
    let meter = Meter::new(stream, counter, shared.limits.dead).map_err(|_| Refusal::Connect)?;
    let opened = timeout_at(deadline, open(meter)).await;
    let (connection, reader, writer) = opened.unwrap_or(Err(Refusal::Timeout))?;
    let hello = hello(shared, reader, writer, place);
    session::serve(shared, Origin::Accepted, deadline, drive(connection), hello).await
}

/// Waits for the request that carries the link and answers its header.
async fn open(meter: Meter) -> Result<(Connection<Meter, Bytes>, Reader, Writer), Refusal> {
    let mut connection = Builder::new()
        .max_concurrent_streams(1)
        .max_header_list_size(MAX_HEADERS)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .data_frame_budget(BUDGET)
        .handshake(meter)
        .await
        .map_err(|_| Refusal::Malformed)?;
    let (request, mut respond) = match connection.accept().await {
        Some(Ok(accepted)) => accepted,
        Some(Err(_)) => return Err(Refusal::Malformed),
        None => return Err(Refusal::Closed),
    };
    let body = respond
        .send_response(Response::new(()), false)
        .map_err(|_| Refusal::Closed)?;
    let reader = Reader::new(request.into_body());
    Ok((connection, reader, Writer::new(body)))
}

async fn hello(
    shared: &Shared,
    mut reader: Reader,
    mut writer: Writer,
    place: OwnedSemaphorePermit,
) -> Result<Opened, Refusal> {
    let dialer: Hello = reader.hello().await?;
    shared.check_dialer(&dialer)?;
    let nonce = dialer.nonce;
    let (answer, acceptor) = Acceptor::new(shared.key.clone(), shared.hello(), dialer)?;
    writer.hello(&answer).await?;
    let confirm: Confirm = reader.hello().await?;
    let session = acceptor.finish(&confirm)?;
    shared.remember(nonce)?;
    drop(place);
    Ok(Opened {
        session,
        reader,
        writer,
    })
}

/// Drives the connection to its end; a further stream is dropped, which resets it.
async fn drive(mut connection: Connection<Meter, Bytes>) {
    while let Some(Ok(_)) = connection.accept().await {}
}
