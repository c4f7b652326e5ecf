//! Result codes of this slice: P2100 to P2199.

use crate::base::code::codes;

codes! {}
