//! Admission: workspace shares, priorities, retry budgets and circuit breakers.

pub(crate) mod codes;
pub(crate) mod events;
