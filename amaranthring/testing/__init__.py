"""Public asserts, fakes and stand-ins for tests, demo and bench."""
