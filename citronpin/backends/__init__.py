"""Clients of model engines and plain services, request dispatch and retries."""
