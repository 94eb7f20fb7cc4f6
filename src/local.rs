//! Statements that the proxy answers itself: SET and SHOW of its own parameters.
