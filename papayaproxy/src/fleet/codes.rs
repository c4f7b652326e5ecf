//! Result codes of this slice: P1300 to P1399.

use crate::base::code::codes;

codes! {}
