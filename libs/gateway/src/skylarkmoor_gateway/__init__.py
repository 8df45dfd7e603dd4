"""The HTTP gateway between callers and upstreams."""
