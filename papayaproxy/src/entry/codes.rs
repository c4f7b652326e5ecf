//! Result codes of this slice: P2300 to P2399.

use crate::base::code::codes;

codes! {}
