"""Monitoring: the balancer's health check, figures and statsd."""
