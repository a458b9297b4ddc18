"""Routes the requests of callers to the endpoints of services."""
