//! Log events of the command-line tool: 2500 to 2599.

use crate::base::event::events;

events! {}
