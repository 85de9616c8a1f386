/**
 * The interface of worker selection: an index of workers that callers update and query.
 */
import type { Either } from 'purify-ts';

import type { Need, Size } from '../schema/mod.ts';

/** The state of a worker that placement decisions use. */
export interface Candidate {
  id: string;
  rack: string;
  dataCentre: string;
  region: string;
  capacity: Size;
  /** Capacity allocated to running tasks and reservations. */
  used: Size;
  /** Number of lookups in progress. */
  outstanding: number;
  /** Recent latency of lookups. */
  latencyMs: number;
  /** Penalty for failures: 0 for none, 1 for a quarantined worker, which gets only probes. */
  penalty: number;
  /** False while the worker gets no new work: leaving, or in a data centre out of service. */
  open: boolean;
}

/** A chosen worker, with an explanation for operators. */
export interface PlacementChoice {
  worker: string;
  reason: string;
}

/** Explains why no worker was chosen. */
export interface PlacementFailure {
  /** True when the task would not fit on any allowed worker, even an empty one. */
  infeasible: boolean;
  reason: string;
}

/** An index of workers in which a choice costs at most the logarithm of their number. */
export interface PlacementIndex {
  upsert(candidate: Candidate): void;
  remove(worker: string): void;
  get(worker: string): Candidate | undefined;
  /** Chooses a worker for a task; the caller updates the index when it uses the choice. */
  choose(need: Need): Either<PlacementFailure, PlacementChoice>;
  size(): number;
}
