//! Result codes of this slice: P1900 to P1999.

use crate::base::code::codes;

codes! {}
