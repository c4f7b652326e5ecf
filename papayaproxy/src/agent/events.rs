//! Log events of this slice: 2400 to 2499.

use crate::base::event::events;

events! {}
