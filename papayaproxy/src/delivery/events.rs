//! Log events of this slice: 1200 to 1299.

use crate::base::event::events;

events! {}
