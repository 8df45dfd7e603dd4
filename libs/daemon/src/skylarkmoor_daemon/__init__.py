"""Daemon of the entry hosts, which admits, schedules and forwards requests to upstreams."""
