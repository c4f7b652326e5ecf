//! Result codes of this slice: P2200 to P2299.

use crate::base::code::codes;

codes! {}
