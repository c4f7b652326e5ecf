//! Result codes of this slice: P2400 to P2499.

use crate::base::code::codes;

codes! {}
