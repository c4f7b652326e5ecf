//! Tests of the fleet document.

mod document;
