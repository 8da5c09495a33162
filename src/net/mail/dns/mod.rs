//! Partners' mail backends as DNS zones: read from files (RFC 1035), kept current by dynamic updates (RFC 2136).

pub mod kept_zone;
pub mod server;
pub mod tcp;
pub mod update;
pub mod zone;
mod zone_file;
