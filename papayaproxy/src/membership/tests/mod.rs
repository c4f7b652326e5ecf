//! Tests of membership.

mod budget;
mod grid;
mod members;
mod node;
