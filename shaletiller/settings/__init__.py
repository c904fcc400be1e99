"""The settings of a site: types, validation and decoding."""
