//! Log events of this slice: 2200 to 2299.

use crate::base::event::events;

events! {}
