//! Log events of this slice: 1600 to 1699.

use crate::base::event::events;

events! {}
