//! Log events of this slice: 1900 to 1999.

use crate::base::event::events;

events! {}
