//! The dunlinward router.
