/**
 * Workers as they register themselves, the orders that they receive, and their responses.
 */
import type { Resources } from './resources.ts';

/** A worker's entry in the registry. */
export interface WorkerEntry {
  id: string;
  service: string;
  address: string;
  dataCentre: string;
  isDraining: boolean;
  /** Minimum time until a draining worker shuts down. */
  remainingMs?: number;
  capacity: Resources;
  /** Labels such as the worker's kind and rack. */
  labels: string[];
  /** Start time of this incarnation, in milliseconds since 1970; 0 if unknown. */
  incarnationStartMs: number;
}

/** How a run ended, as reported by its worker. */
export const RunEnd = {
  Done: 'done',
  Failed: 'failed',
  Stopped: 'stopped',
  /** The worker's lease expired. */
  Expired: 'expired',
  /** Another member of the gang ended. */
  Broken: 'broken',
  /** The other members of the gang did not start in time. */
  Incomplete: 'incomplete',
} as const;

/** One of the values of {@link RunEnd}. */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** A run that a worker reports as running. */
export interface ActiveRun {
  task: string;
  attempt: number;
  checkpoint: string;
  percent: number;
  /** Tail latency in milliseconds for a task that serves users, otherwise the CPU in use. */
  usage: number;
}

/** A run that a worker reports as ended. */
export interface EndedRun {
  /** Increases by one with each ended run of an incarnation. */
  sequence: number;
  task: string;
  attempt: number;
  end: RunEnd;
  checkpoint: string;
}

/** A worker's response to a lease renewal. */
export interface WorkerReport {
  /** The worker's monotonic clock. */
  clockMs: number;
  incarnationStartMs: number;
  running: ActiveRun[];
  ended: EndedRun[];
  /** There may be more ended runs, which are reported once these are acknowledged. */
  hasMoreEnds: boolean;
}

/** An order to start a run. */
export interface StartOrder {
  task: string;
  attempt: number;
  payload: string;
  /** Lease expiry on the worker's clock. */
  leaseUntilMs: number;
  fencingToken: number;
  checkpoint?: string;
  ticket?: string;
}

/** Why an order was not carried out, or is not known to have been. */
export const Rejection = {
  /** The worker has seen a higher fencing token. */
  Fenced: 'fenced',
  /** The worker has already run this or a later attempt. */
  Superseded: 'superseded',
  /** The lease has expired on the worker's clock. */
  Late: 'late',
  NoRoom: 'no-room',
  Ticket: 'ticket',
  /** The worker is unhealthy and ignored the order. */
  Unhealthy: 'unhealthy',
  /** Another incarnation responds at the address. */
  OtherIncarnation: 'other-incarnation',
  Malformed: 'malformed',
  /** The order was certainly not sent. */
  Unsent: 'unsent',
  /** A response that does not tell whether the order was carried out; it will not be any more. */
  Unconfirmed: 'unconfirmed',
  /** No response: the order may have been carried out, or may still be. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link Rejection}. */
export type Rejection = (typeof Rejection)[keyof typeof Rejection];

/** The result of an order; without a rejection, the worker has carried it out. */
export interface OrderResult {
  rejection?: Rejection;
  /** The worker's clock in its response, which tells its incarnations apart. */
  clockMs?: number;
}

/** What names a worker in a request to it. */
export type WorkerAddress = Pick<WorkerEntry, 'id' | 'address'>;

/** An order to stop a run. */
export interface StopOrder {
  task: string;
  attempt: number;
  fencingToken: number;
}

/** A request to extend the leases on a worker and to return its report. */
export interface LeaseRenewal {
  fencingToken: number;
  /** Highest sequence of the ends that are confirmed. */
  lastSeen: number;
  /** Lease expiry on the worker's clock; leases are not extended without it. */
  leaseUntilMs?: number;
  /** Time for which the worker may wait for an end before it responds. */
  waitMs: number;
}

/** Sends requests to workers. */
export interface WorkerClient {
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderResult>;
  stop(worker: WorkerAddress, order: StopOrder): Promise<OrderResult>;
  /** Extends the lease of all runs on the worker and returns its running and ended runs. */
  renewLease(worker: WorkerAddress, renewal: LeaseRenewal): Promise<WorkerReport | Rejection>;
  /** Closes the connections to a worker that has left the registry. */
  disconnect(worker: WorkerAddress): void;
}
