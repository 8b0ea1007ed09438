"""Where a request goes: routes, endpoints and replicas, and the choice among them."""
