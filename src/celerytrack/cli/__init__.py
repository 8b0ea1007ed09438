"""Console scripts: entry, gateway, stand-ins, operators' tool and load generator."""
