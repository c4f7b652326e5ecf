//! Tests of the engine stand-in.
