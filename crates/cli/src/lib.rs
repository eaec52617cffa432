//! The operator's command line, as a library for its tests.

pub mod cmd;
pub mod context;
pub mod document;
pub mod error;
pub mod line;
pub mod settings;
pub mod table;
