"""The console scripts: entry, stand-ins, operator tool and load tool."""
