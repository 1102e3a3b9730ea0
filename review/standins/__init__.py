"""Stand-ins of the platform, its clients and its replicas."""
