"""Tests of the endpoints package."""
