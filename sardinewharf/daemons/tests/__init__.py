"""Tests beside the code."""
