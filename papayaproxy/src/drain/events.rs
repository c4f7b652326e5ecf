//! Log events of this slice: 2100 to 2199.

use crate::base::event::events;

events! {}
