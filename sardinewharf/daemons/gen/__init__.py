"""Code generated from sardinewharf.thrift."""
