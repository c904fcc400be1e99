"""What a gateway promises, copied to further gateways before it counts as made.  Free of I/O."""
