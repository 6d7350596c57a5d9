"""Opaque forwarding: any request of a route, to an endpoint that may run it.

Requests pass byte for byte. What decides is the same as for the product's own
interface: which versions are allowed, which model is expected to suffice, where a
free slot is, what may be sent again. The layers are those of the whole project:
`transport`, `protocol`, `coordination`, `state`.
"""
