//! The command line of the operator, as a library so that tests can call it.

pub mod cmd;
pub mod context;
pub mod document;
pub mod error;
pub mod line;
pub mod settings;
pub mod table;
