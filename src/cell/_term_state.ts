/**
 * State and options that the components of a scheduler's term share.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Configuration, Store, StoredRow, WorkerEntry, WorkerClient } from '../model/mod.ts';
import type { CellState, Job } from '../scheduler/mod.ts';
import type { AdvicePool } from './advice_pool.ts';
import type { BatchWriter } from './batch_writer.ts';

/** Configuration and evacuated data centres, as last known to have been set by the operator. */
export interface OperatorState {
  configuration: Configuration;
  evacuated: ReadonlySet<string>;
  /** Monotonic time at which this state was last known to be current. */
  currentAtMs: number;
}

/** Dependencies and callbacks of a term. */
export interface TermOptions {
  store: Store;
  workers: WorkerClient;
  clock: Clock;
  log: Logger;
  advicePool: AdvicePool;
  registryTable: string;
  decodeWorker(row: StoredRow): WorkerEntry | undefined;
  operatorState(): OperatorState | undefined;
  claim: { epoch: number; instance: string; sequence: { version: number; value: string } };
  /** Whether a predecessor may still renew leases. */
  predecessorMayAct: boolean;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Longest value of a row of the store, in bytes. */
  maxRowBytes: number;
  onEnded(reason: string): void;
}

/** State and functions of a term that its components share. */
export interface Term extends Omit<TermOptions, 'onEnded' | 'predecessorMayAct'> {
  state: CellState;
  writer: BatchWriter;
  /** Aborted once the term has ended. */
  endSignal: AbortSignal;
  /** Monotonic time until which leases from predecessors may last. */
  predecessorLeasesEndAtMs: number;
  /** Monotonic time until which workers may carry out start orders of predecessors. */
  predecessorOrdersEndAtMs: number;
  /** Marks a job's progress row as changed. */
  markJobDirty(job: Job): void;
  /** Schedules a pass. */
  schedulePass(): void;
  end(reason: string): void;
}
