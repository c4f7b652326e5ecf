//! Log events of this slice: 2300 to 2399.

use crate::base::event::events;

events! {}
