"""A stand-in for upstreams, for the demo and the process tests."""
