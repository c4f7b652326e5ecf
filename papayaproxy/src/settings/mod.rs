//! Settings of a process, read and validated from an INI file and overrides.

pub(crate) mod codes;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod log;
pub(crate) mod process;
pub(crate) mod reader;
pub(crate) mod value;

#[cfg(test)]
mod tests;

pub use error::{Problem, SettingsError};
pub use log::LogSettings;
pub use process::ProcessSettings;
pub use reader::{Reader, SettingRow};
pub use value::{parse_duration, parse_name, parse_size};
