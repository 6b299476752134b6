//! The operator's command line for a dunlinward fleet.
