"""What every package shares: streams, identifiers, clocks, metrics, logs."""
