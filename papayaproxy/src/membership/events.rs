//! Log events of this slice: 1400 to 1499.

use crate::base::event::events;

events! {}
