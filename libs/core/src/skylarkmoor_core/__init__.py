"""Shared types of skylarkmoor: clock, ids, errors, documents, messages and records."""
