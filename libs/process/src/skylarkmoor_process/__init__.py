"""Peer messaging and background tasks of a process."""
