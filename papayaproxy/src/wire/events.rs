//! Log events of this slice: 1100 to 1199.

use crate::base::event::events;

events! {}
