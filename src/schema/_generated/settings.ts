/* Generated from src/schema/settings.json by `npm run generate`. */

/** A key of a settings section. */
export interface SettingsKey {
  type: string;
  /** Which values it takes, in words. */
  expected: string;
  default?: unknown;
}

/** A kind of settings file; `keys` and `sections` name entries of {@link settingsSections}. */
export interface SettingsFile {
  path: string;
  /** Not part of the tree that all processes share. */
  local?: boolean;
  keys?: string;
  sections: Record<string, string>;
}

export const settingsFiles: SettingsFile[] = [
  {
    "path": "fleet.ini",
    "sections": {
      "operator.NAME": "OperatorSection",
      "policy": "PolicySection",
      "worker": "WorkerSection"
    }
  },
  {
    "path": "data-centres/{name}.ini",
    "keys": "DataCentreSection",
    "sections": {}
  },
  {
    "path": "upstreams/{rack}.ini",
    "sections": {
      "rack": "RackSection",
      "upstream.NAME": "UpstreamSection"
    }
  },
  {
    "path": "teams/{team}/team.ini",
    "keys": "TeamSection",
    "sections": {}
  },
  {
    "path": "teams/{team}/keys.ini",
    "sections": {
      "key.NAME": "KeySection"
    }
  },
  {
    "path": "teams/{team}/queues/{queue}.ini",
    "keys": "QueueSection",
    "sections": {}
  },
  {
    "path": "entry.ini",
    "local": true,
    "sections": {
      "process": "ProcessSection",
      "callers": "CallersSection",
      "peers": "PeersSection",
      "operators": "OperatorsSection",
      "table": "TableSection",
      "objects": "ObjectsSection",
      "hosts": "HostsSection",
      "metrics": "MetricsSection"
    }
  }
];

export const settingsSections: Record<string, Record<string, SettingsKey>> = {
  "OperatorSection": {
    "salt": {
      "type": "string",
      "expected": "base64url text of at least 16 bytes"
    },
    "hash": {
      "type": "string",
      "expected": "base64url text of at least 16 bytes"
    }
  },
  "PolicySection": {
    "urgent_deadline_ms": {
      "type": "integer",
      "expected": "a whole number from 1 to 600000",
      "default": 1600
    },
    "starvation_bound_ms": {
      "type": "integer",
      "expected": "a whole number from 1000",
      "default": 600000
    },
    "lease_ms": {
      "type": "integer",
      "expected": "a whole number from 5000 to 300000",
      "default": 30000
    },
    "retry_budget_per_team_per_minute": {
      "type": "integer",
      "expected": "a whole number from 0",
      "default": 60
    },
    "evacuation_tasks_per_second": {
      "type": "number",
      "expected": "a number above 0",
      "default": 5
    }
  },
  "WorkerSection": {
    "dialect": {
      "type": "string",
      "expected": "one of http-json",
      "default": "http-json"
    },
    "fencing": {
      "type": "boolean",
      "expected": "yes or no",
      "default": true
    }
  },
  "DataCentreSection": {
    "region": {
      "type": "string",
      "expected": "a name of a-z, 0-9 and hyphens, at most 63 characters"
    },
    "in_service": {
      "type": "boolean",
      "expected": "yes or no",
      "default": true
    }
  },
  "RackSection": {
    "data_centre": {
      "type": "string",
      "expected": "a name of a-z, 0-9 and hyphens, at most 63 characters"
    }
  },
  "UpstreamSection": {
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 1 to 65535"
    },
    "processors": {
      "type": "number",
      "expected": "a number above 0"
    },
    "memory_mb": {
      "type": "number",
      "expected": "a number above 0"
    },
    "accelerators": {
      "type": "number",
      "expected": "a number from 0",
      "default": 0
    },
    "slots": {
      "type": "integer",
      "expected": "a whole number from 1 to 10000",
      "default": 8
    },
    "connections": {
      "type": "integer",
      "expected": "a whole number from 1 to 10000",
      "default": 60
    },
    "leaving": {
      "type": "boolean",
      "expected": "yes or no",
      "default": false
    }
  },
  "TeamSection": {
    "share": {
      "type": "number",
      "expected": "a number above 0",
      "default": 1
    },
    "limit": {
      "type": "integer",
      "expected": "a whole number from 0 to 1000000"
    }
  },
  "KeySection": {
    "salt": {
      "type": "string",
      "expected": "base64url text of at least 16 bytes"
    },
    "hash": {
      "type": "string",
      "expected": "base64url text of at least 16 bytes"
    }
  },
  "QueueSection": {
    "kinds": {
      "type": "array",
      "expected": "a list of lookup, batch, gang, service, each at most once",
      "default": [
        "lookup",
        "batch",
        "gang",
        "service"
      ]
    },
    "open": {
      "type": "boolean",
      "expected": "yes or no",
      "default": false
    },
    "max_waiting": {
      "type": "integer",
      "expected": "a whole number from 0 to 1000000",
      "default": 1000
    },
    "data_centres": {
      "type": "array",
      "expected": "a list of data centre names, each at most once",
      "default": []
    }
  },
  "ProcessSection": {
    "name": {
      "type": "string",
      "expected": "a name of a-z, 0-9 and hyphens, at most 63 characters"
    },
    "data_centre": {
      "type": "string",
      "expected": "a name of a-z, 0-9 and hyphens, at most 63 characters"
    },
    "region": {
      "type": "string",
      "expected": "a name of a-z, 0-9 and hyphens, at most 63 characters"
    },
    "log_level": {
      "type": "string",
      "expected": "one of trace, debug, info, warn, error, fatal",
      "default": "info"
    }
  },
  "CallersSection": {
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 0 to 65535"
    },
    "max_body_bytes": {
      "type": "integer",
      "expected": "a whole number from 1024",
      "default": 1048576
    },
    "max_header_bytes": {
      "type": "integer",
      "expected": "a whole number from 1024 to 1048576",
      "default": 8192
    },
    "max_connections": {
      "type": "integer",
      "expected": "a whole number from 1",
      "default": 4000
    },
    "max_waiting_requests": {
      "type": "integer",
      "expected": "a whole number from 1",
      "default": 2000
    }
  },
  "PeersSection": {
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 0 to 65535"
    }
  },
  "OperatorsSection": {
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 0 to 65535"
    }
  },
  "TableSection": {
    "dialect": {
      "type": "string",
      "expected": "one of http-json",
      "default": "http-json"
    },
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 1 to 65535"
    }
  },
  "ObjectsSection": {
    "dialect": {
      "type": "string",
      "expected": "one of http-json",
      "default": "http-json"
    },
    "address": {
      "type": "string",
      "expected": "an IP address"
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 1 to 65535"
    }
  },
  "HostsSection": {
    "dialect": {
      "type": "string",
      "expected": "one of http-json",
      "default": "http-json"
    },
    "address": {
      "type": "string",
      "expected": "an IP address, or empty",
      "default": ""
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 0 to 65535",
      "default": 0
    }
  },
  "MetricsSection": {
    "address": {
      "type": "string",
      "expected": "an IP address, or empty",
      "default": ""
    },
    "port": {
      "type": "integer",
      "expected": "a whole number from 1 to 65535",
      "default": 8125
    }
  }
};
