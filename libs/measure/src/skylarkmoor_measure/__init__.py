"""Benchmarks of the scheduling and rollout policies in simulation, and their cost models."""
