"""What every other part uses: ids, errors, clocks, settings, events and metrics."""
