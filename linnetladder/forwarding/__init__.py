"""Opaque forwarding of a route's requests to the endpoints that may run them.

Requests are passed on byte for byte. Routing follows the same criteria as the
product's own interface: the allowed versions, the smallest model expected to suffice,
free slots at endpoints, and whether a request may be retried. The layers are those of
the whole project: `transport`, `protocol`, `coordination`, `state`.
"""
