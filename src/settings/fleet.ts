/**
 * The settings tree as the program uses it, after all files were checked.
 */
import type { Upstream, WorkKind } from '../schema/mod.ts';

/** A salted hash of a key; the key itself is kept nowhere. */
export interface KeyHash {
  id: string;
  salt: string;
  hash: string;
}

/** A queue of a team. */
export interface Queue {
  name: string;
  kinds: WorkKind[];
  /** Open to callers without a key of the team. */
  open: boolean;
  maxWaiting: number;
  /** Only these data centres; empty for any. */
  dataCentres: string[];
}

/** A team with its share and upper limit (running tasks over the fleet). */
export interface Team {
  name: string;
  share: number;
  limit: number;
  keys: KeyHash[];
  queues: Record<string, Queue>;
}

/** A data centre, and whether operators have it in service. */
export interface DataCentre {
  name: string;
  region: string;
  inService: boolean;
}

/** Bounds of the policy that operators may set for the fleet. */
export interface Policy {
  urgentDeadlineMs: number;
  starvationBoundMs: number;
  leaseMs: number;
  retryBudgetPerTeamPerMinute: number;
  evacuationTasksPerSecond: number;
}

/** The whole settings tree at one version. */
export interface Fleet {
  version: number;
  operators: KeyHash[];
  policy: Policy;
  /** Dialect of the workers' protocol, and whether workers refuse old epochs. */
  worker?: { dialect: string; fencing: boolean };
  dataCentres: Record<string, DataCentre>;
  upstreams: Record<string, Upstream>;
  teams: Record<string, Team>;
}
