/**
 * Workers as they register themselves, and what they answer to orders.
 */
import type { Resources } from './resources.ts';

/** A worker's entry in the registry. */
export interface WorkerEntry {
  id: string;
  service: string;
  address: string;
  dataCentre: string;
  draining: boolean;
  /** Least time until a draining worker leaves. */
  remainingMs?: number;
  capacity: Resources;
  /** Kind and rack. */
  labels: string[];
  /** Start of this incarnation, in milliseconds since 1970; 0 where the worker does not say. */
  incarnationStartMs: number;
}

/** How a run ended, as its worker says. */
export const RunEnd = {
  Done: 'done',
  Failed: 'failed',
  Stopped: 'stopped',
  /** The worker's lease ran out. */
  Expired: 'expired',
  /** Another member of the gang ended. */
  Broken: 'broken',
  /** The other members of the gang did not arrive in time. */
  Incomplete: 'incomplete',
} as const;

/** One of the values of {@link RunEnd}. */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** A run that a worker lists as running. */
export interface RunningRun {
  task: string;
  attempt: number;
  checkpoint: string;
  percent: number;
  /** Tail latency in milliseconds of a serving task, otherwise the processor in use. */
  usage: number;
}

/** A run that a worker lists as ended. */
export interface EndedRun {
  /** Rises by one with each end in one incarnation. */
  sequence: number;
  task: string;
  attempt: number;
  end: RunEnd;
  checkpoint: string;
}

/** A worker's answer to a lease renewal. */
export interface WorkerReport {
  /** The worker's monotonic clock. */
  clockMs: number;
  incarnationStartMs: number;
  running: RunningRun[];
  ended: EndedRun[];
  /** There may be further ends, which are listed once these are confirmed. */
  hasMoreEnds: boolean;
}

/** An order to start a run. */
export interface StartOrder {
  task: string;
  attempt: number;
  payload: string;
  /** Lease end on the worker's clock. */
  leaseUntilMs: number;
  fencingToken: number;
  checkpoint?: string;
  ticket?: string;
}

/** Why a worker did not start a run. */
export const Rejection = {
  /** A higher fencing token has been seen. */
  Fenced: 'fenced',
  /** The same or a later attempt has run there. */
  Superseded: 'superseded',
  /** The lease end has passed on the worker's clock. */
  Late: 'late',
  NoRoom: 'no-room',
  Ticket: 'ticket',
  /** The worker is unhealthy and did nothing. */
  Unhealthy: 'unhealthy',
  /** Another incarnation answers at the address. */
  OtherIncarnation: 'other-incarnation',
  Malformed: 'malformed',
  /** No answer: the order may be carried out, now or later. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link Rejection}. */
export type Rejection = (typeof Rejection)[keyof typeof Rejection];

/** The outcome of an order: undefined when it was carried out. */
export type OrderOutcome = Rejection | undefined;

/** Calls to workers. */
export interface WorkerClient {
  start(worker: WorkerEntry, order: StartOrder): Promise<OrderOutcome>;
  stop(
    worker: WorkerEntry,
    order: { task: string; attempt: number; fencingToken: number },
  ): Promise<OrderOutcome>;
  /** Extends the lease of everything that runs there and lists what runs and what ended. */
  renewLease(
    worker: WorkerEntry,
    request: { fencingToken: number; lastSeen: number; leaseUntilMs?: number; waitMs: number },
  ): Promise<WorkerReport | Rejection>;
  /** Closes the connections to a worker that has left. */
  disconnect(worker: WorkerEntry): void;
}
