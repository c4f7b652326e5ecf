//! Tests of reply assembly, event streams and stream recovery.

mod assembler;
mod resume;
mod shape;
mod splitter;
