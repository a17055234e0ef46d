"""Stand-in upstreams for the demo, the process tests and the benchmarks."""
