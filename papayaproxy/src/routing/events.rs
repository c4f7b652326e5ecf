//! Log events of this slice: 1500 to 1599.

use crate::base::event::events;

events! {}
