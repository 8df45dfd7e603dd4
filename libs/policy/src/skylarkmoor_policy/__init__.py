"""Pure scheduling decisions of skylarkmoor."""
