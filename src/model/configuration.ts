/**
 * The operator's configuration.
 */
import type { Resources } from './resources.ts';

/** How long the advice service takes, and how long its tickets are valid. */
export interface AdviceTiming {
  /** Fixed duration of a request. */
  decisionMs: number;
  /** Additional duration for each worker in the request. */
  perWorkerMs: number;
  /** Validity period of a ticket. */
  validityMs: number;
}

/** A queue to which clients submit jobs. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  service: string;
  /** Scheduling priority; 0 is the highest. */
  priority: number;
  maxAttempts: number;
  /** The target duration of a job is its critical path times this factor ... */
  targetFactor: number;
  /** ... plus this latency. */
  targetLatencyMs: number;
  advice?: AdviceTiming;
  /** Requests need no API key. */
  isPublic: boolean;
}

/** An organisation that submits jobs, with its API keys and its share of the capacity. */
export interface Organisation {
  name: string;
  keys: string[];
  weight: number;
  /** Maximum resources in use at a time; 0 means unlimited. */
  upperLimit: Resources;
}

/** A pool of workers. */
export interface Service {
  name: string;
  /** Whether the workers reject a run that exceeds their free capacity. */
  hasAdmissionControl: boolean;
  isStandby: boolean;
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
