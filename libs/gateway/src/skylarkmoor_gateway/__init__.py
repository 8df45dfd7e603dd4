"""HTTP reverse proxy that distributes callers' requests over upstreams."""
