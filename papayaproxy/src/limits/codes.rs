//! Result codes of this slice: P1600 to P1699.

use crate::base::code::codes;

codes! {}
