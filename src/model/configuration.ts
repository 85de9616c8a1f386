/**
 * The operator's configuration.
 */
import type { Resources } from './resources.ts';

/** The cost and life of permissions to run a step on a worker. */
export interface PlacementAdvice {
  /** Time of a call, apart from the workers it names. */
  decisionMs: number;
  /** Further time for each worker named. */
  perWorkerMs: number;
  /** Time for which a ticket is valid. */
  validityMs: number;
}

/** A queue of jobs. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  service: string;
  /** 0 comes first. */
  priority: number;
  maxAttempts: number;
  /** The objective of a job: this many times its longest chain of work ... */
  targetFactor: number;
  /** ... and this much more. */
  targetLatencyMs: number;
  advice?: PlacementAdvice;
  /** Calls need no key. */
  isPublic: boolean;
}

/** A team that submits jobs. */
export interface Organisation {
  name: string;
  keys: string[];
  weight: number;
  /** Most that may run at a time; 0 for no limit. */
  upperLimit: Resources;
}

/** A pool of workers. */
export interface Service {
  name: string;
  /** Workers reject what does not fit. */
  workersCheckRoom: boolean;
  standby: boolean;
}

/** One version of the operator's configuration. */
export interface Configuration {
  version: number;
  queues: Queue[];
  services: Service[];
  organisations: Organisation[];
  maxBodyBytes: number;
  maxHeaderBytes: number;
  idleTimeoutMs: number;
}
