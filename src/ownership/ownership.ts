/**
 * What the rest of a process knows of the workers and job partitions that it owns.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';

/** Number of job partitions; a job's partition is the hash of its id modulo this. */
export const partitionCount = 64;

/** A worker that this process owns and has fenced. */
export interface OwnedWorker {
  upstream: Upstream;
  epoch: number;
}

/**
 * Called as ownership changes; `acquired` is called after the fence and the settlement, before any
 * start. The units of the running tasks have been adopted by then.
 */
export interface OwnershipObserver {
  acquired(worker: OwnedWorker, state: WorkerState): void;
  /**
   * Starts must cease before this returns. The tasks go on under another owner: their units are not
   * given back here, since they move with the worker or belong to an id that is gone.
   */
  released(worker: OwnedWorker): void;
  partitionAcquired(partition: number): void;
  partitionReleased(partition: number): void;
}

/** Ownership as the process knows it. */
export interface Ownership {
  workers(): OwnedWorker[];
  partitions(): number[];
  /** The member that owns a worker, as last read. */
  ownerOfWorker(worker: string): string | undefined;
  ownerOfPartition(partition: number): string | undefined;
  /**
   * Reads the rows again: what is known of their owners led to a member that does not own them.
   * A hand-over between two other members is not announced.
   */
  recheck(rows: { workers?: string[]; partitions?: number[] }): void;
  /** Tells that a worker answered `epoch-stale`: somebody else has claimed it. */
  lost(worker: string): void;
  subscribe(observer: OwnershipObserver): void;
  /** Planned hand-over of everything. */
  handOver(): Promise<void>;
}
