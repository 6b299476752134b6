//! Clients for the log and the instance list of the platform.
