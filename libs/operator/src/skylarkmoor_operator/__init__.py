"""Command-line tools for operators: skylarkmoorctl and skylarkmoor-audit."""
