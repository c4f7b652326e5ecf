//! Result codes of this slice: P1700 to P1799.

use crate::base::code::codes;

codes! {}
