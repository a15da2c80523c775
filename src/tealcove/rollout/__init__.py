"""Roll-outs of a service's new version, as an operator orders them."""
