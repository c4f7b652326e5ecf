//! Result codes of this slice: P1800 to P1899.

use crate::base::code::codes;

codes! {}
