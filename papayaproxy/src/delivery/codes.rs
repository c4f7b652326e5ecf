//! Result codes of this slice: P1200 to P1299.

use crate::base::code::codes;

codes! {}
