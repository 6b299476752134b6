//! The decisions of a dunlinward router, free of input and output.
