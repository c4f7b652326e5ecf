//! Log events of this slice: 2000 to 2099.

use crate::base::event::events;

events! {}
