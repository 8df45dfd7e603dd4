"""The daemon that runs on entry hosts."""
