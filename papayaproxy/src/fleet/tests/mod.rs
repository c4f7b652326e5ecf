//! Tests of the fleet document.

mod document;
mod fetch;
mod inputs;
mod order;
