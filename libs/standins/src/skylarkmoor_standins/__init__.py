"""Simulated platform services and upstreams for tests and demonstrations."""
