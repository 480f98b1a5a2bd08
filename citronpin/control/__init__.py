"""Controllers and watchers that form, probe, repair and update groups."""
