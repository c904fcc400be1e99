"""The settings of a site: their types, and the one decoder that reads them."""
