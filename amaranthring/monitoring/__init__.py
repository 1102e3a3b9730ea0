"""Monitoring: health check, metrics endpoint and statsd export."""
