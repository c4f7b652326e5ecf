//! Log events of this slice: 1800 to 1899.

use crate::base::event::events;

events! {}
