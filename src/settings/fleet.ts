/**
 * Types of the validated settings tree.
 */
import type { Upstream, WorkKind } from '../schema/mod.ts';

/** A salted hash of an access key; the key itself is not stored. */
export interface KeyHash {
  id: string;
  salt: string;
  hash: string;
}

/** A queue of a team and the work it accepts. */
export interface Queue {
  name: string;
  kinds: WorkKind[];
  /** Whether callers without a key of the team may submit. */
  open: boolean;
  maxWaiting: number;
  /** Allowed data centres; empty allows all. */
  dataCentres: string[];
}

/** A team with its share and its limit of running tasks across the fleet. */
export interface Team {
  name: string;
  share: number;
  limit: number;
  keys: KeyHash[];
  queues: Record<string, Queue>;
}

/** A data centre, and whether operators have put it in service. */
export interface DataCentre {
  name: string;
  region: string;
  inService: boolean;
}

/** Scheduling policy that operators set for the fleet. */
export interface Policy {
  urgentDeadlineMs: number;
  starvationBoundMs: number;
  leaseMs: number;
  retryBudgetPerTeamPerMinute: number;
  evacuationTasksPerSecond: number;
}

/** All settings of the fleet at one version. */
export interface Fleet {
  version: number;
  operators: KeyHash[];
  policy: Policy;
  /** Dialect of the worker protocol, and whether workers reject old epochs (fencing). */
  worker?: { dialect: string; fencing: boolean };
  dataCentres: Record<string, DataCentre>;
  upstreams: Record<string, Upstream>;
  teams: Record<string, Team>;
}
