//! The configuration file of a dunlinward fleet.
