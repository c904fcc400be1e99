"""The settings of a site: their types, and the one decoder of the settings document."""
