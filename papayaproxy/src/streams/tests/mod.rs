//! Tests of assembled replies and broken streams.

mod assembler;
mod resume;
mod splitter;
