"""Measuring command for the decisions under load and faults."""
