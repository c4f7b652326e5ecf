//! Log events of this slice: 1700 to 1799.

use crate::base::event::events;

events! {}
