//! Log events of this slice: 1000 to 1099.

use crate::base::event::events;

events! {}
