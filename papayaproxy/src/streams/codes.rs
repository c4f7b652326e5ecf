//! Result codes of this slice: P2000 to P2099.

use crate::base::code::codes;

codes! {}
