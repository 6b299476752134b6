//! Small stand-ins for the systems around a dunlinward fleet.
