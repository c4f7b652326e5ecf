//! Result codes of this slice: P1400 to P1499.

use crate::base::code::codes;

codes! {}
