//! Randomised runs of the key state.
