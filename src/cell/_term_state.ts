/**
 * What the parts of a scheduler's term share.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Configuration, Store, StoredRow, WorkerEntry, WorkerClient } from '../model/mod.ts';
import type { CellState, Job } from '../scheduler/mod.ts';
import type { AdvicePool } from './advice_pool.ts';
import type { BatchWriter } from './batch_writer.ts';

/** What the scheduler knows of the operator's wishes. */
export interface OperatorState {
  configuration: Configuration;
  evacuated: ReadonlySet<string>;
  /** Monotonic time at which this was last known to be current. */
  currentAtMs: number;
}

/** What a term is made of. */
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
  /** Whether the predecessor may still renew leases. */
  predecessorMayAct: boolean;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  onEnded(reason: string): void;
}

/** The state of a term and the acts that all its parts use. */
export interface Term extends Omit<TermOptions, 'onEnded' | 'predecessorMayAct'> {
  state: CellState;
  writer: BatchWriter;
  /** Aborted once the term is over. */
  endSignal: AbortSignal;
  /** Monotonic time until which a predecessor's orders may keep runs alive. */
  predecessorLeasesEndAtMs: number;
  /** Marks a job's progress to be stored. */
  markJobDirty(job: Job): void;
  /** Decides again soon. */
  schedulePass(): void;
  end(reason: string): void;
}

/** A scheduler that cannot reach the store stops renewing leases after this time. */
export const maxRenewalWithoutStoreMs = 12_000;
