//! Frames and keyed links between dunlinward routers.
