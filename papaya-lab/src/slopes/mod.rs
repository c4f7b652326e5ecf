//! Measures how cost grows with size, and extends the lines to the size that is built for.

mod choices;
mod command;
mod documents;
mod keys;
mod line;
mod members;
mod plans;
mod process;

#[cfg(test)]
mod tests;

pub use command::{command, run};
