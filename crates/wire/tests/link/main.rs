//! Links over loopback.

mod common;
mod hostile;
mod pools;
