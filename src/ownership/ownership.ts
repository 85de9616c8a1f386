/**
 * The interface through which a process uses the workers and job partitions that it owns.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';

/** Number of job partitions; a job belongs to the partition `hash(id) % partitionCount`. */
export const partitionCount = 64;

/** A worker that this process owns and has fenced. */
export interface OwnedWorker {
  upstream: Upstream;
  epoch: number;
}

/** Callbacks for changes of ownership. */
export interface OwnershipObserver {
  /**
   * Called once a worker is fenced and settled, before any start. The limit units of its running
   * tasks have been adopted by then.
   */
  acquired(worker: OwnedWorker, state: WorkerState): void;
  /**
   * Called when a worker is handed over or lost; it must not be used for starts after this returns.
   * Its tasks continue under another owner, so their units are not returned: they move with the
   * worker or belong to an id that has been expelled.
   */
  released(worker: OwnedWorker): void;
  partitionAcquired(partition: number): void;
  partitionReleased(partition: number): void;
}

/** Ownership of workers and partitions as last read by the process. */
export interface Ownership {
  workers(): OwnedWorker[];
  partitions(): number[];
  /** The member that owns a worker; undefined when there is none or it is not known. */
  ownerOfWorker(worker: string): string | undefined;
  ownerOfPartition(partition: number): string | undefined;
  /**
   * Requests a new read of rows whose cached owner turned out to be wrong. It is needed because
   * hand-overs between other members are not announced.
   */
  recheck(rows: { workers?: string[]; partitions?: number[] }): void;
  /** Reports that a worker responded `epoch-stale`, so another member has claimed it. */
  lost(worker: string): void;
  subscribe(observer: OwnershipObserver): void;
  /** Hands over all workers and partitions before a planned shutdown. */
  handOver(): Promise<void>;
}
