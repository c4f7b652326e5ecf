//! Result codes of this slice: P2500 to P2599.

use crate::base::code::codes;

codes! {}
