//! The policies a dunlinward kernel may run with.
