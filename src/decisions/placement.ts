/**
 * The interface of worker choice: an index of workers that is kept up to date and asked for a place.
 */
import type { Either } from 'purify-ts';

import type { Need, Size } from '../schema/mod.ts';

/** A worker as placement sees it. */
export interface Candidate {
  id: string;
  rack: string;
  dataCentre: string;
  region: string;
  capacity: Size;
  /** What is taken: running tasks and reservations. */
  used: Size;
  /** Lookups in progress, and their recent latency. */
  outstanding: number;
  latencyMs: number;
  /** Quarantine: 0 for none, 1 for no new work but probes. */
  penalty: number;
  /** False while the worker leaves, or its data centre is out of service. */
  open: boolean;
}

/** A chosen worker, with a short reason for operators. */
export interface PlacementChoice {
  worker: string;
  reason: string;
}

/** Why no worker was chosen. */
export interface PlacementFailure {
  /** True when no worker could ever hold the task, even empty. */
  infeasible: boolean;
  reason: string;
}

/** Workers, ordered so that a choice costs at most the logarithm of their number. */
export interface PlacementIndex {
  upsert(candidate: Candidate): void;
  remove(worker: string): void;
  get(worker: string): Candidate | undefined;
  choose(need: Need): Either<PlacementFailure, PlacementChoice>;
  size(): number;
}
