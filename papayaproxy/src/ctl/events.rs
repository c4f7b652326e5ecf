//! Log events of this slice: 2500 to 2599.

use crate::base::event::events;

events! {}
