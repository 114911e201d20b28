"""What it costs to serve a site from its neighbours: `figures` are told, `project`
foretells, `outage` holds that against what came, `part` carries it out."""
