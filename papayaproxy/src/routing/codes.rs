//! Result codes of this slice: P1500 to P1599.

use crate::base::code::codes;

codes! {}
