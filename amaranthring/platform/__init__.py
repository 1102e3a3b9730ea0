"""The platform: the balancer's health check and statsd."""
