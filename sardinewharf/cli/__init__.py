"""Command-line tool ``sardinewharf`` for operators."""
