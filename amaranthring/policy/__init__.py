"""Decision logic without I/O; the current time is passed in."""
