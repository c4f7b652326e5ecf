//! Log events of this slice: 1300 to 1399.

use crate::base::event::events;

events! {}
