"""Controllers that form, watch and repair groups."""
