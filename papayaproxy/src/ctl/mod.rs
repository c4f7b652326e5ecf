//! Commands of the operators' command-line tool, `papayactl`.

pub(crate) mod codes;
pub(crate) mod command;
pub(crate) mod constants;
pub(crate) mod describe;
pub(crate) mod events;
pub(crate) mod explain;
pub(crate) mod fetch;
pub(crate) mod reference;
pub(crate) mod status;

#[cfg(test)]
mod tests;

pub use command::run;
pub use describe::describe;
pub use fetch::{FetchError, fetch};
pub use reference::{PAGES, page as reference_page};
pub use status::{Answered, Survey, survey};
