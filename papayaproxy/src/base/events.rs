//! Log events of this module: 1000 to 1099.

use super::event::events;

events! {
    TASK_FAILED = 1000, "A task failed unexpectedly and is started again. Fields: task, error.";
}
