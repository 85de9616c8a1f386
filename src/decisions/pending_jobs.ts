/**
 * The interface of the pending jobs: the order of placement by team share, age and reservation.
 */
import type { Need } from '../schema/mod.ts';

/** A job with tasks that are not placed yet. */
export interface PendingJob {
  id: string;
  team: string;
  need: Need;
  /** Number of pending tasks; a gang needs all of them placed at once. */
  count: number;
  gang: boolean;
  enqueuedAt: number;
  deadlineAt?: number;
}

/** The outcome of an attempt to place a job. */
export const PlacementOutcome = {
  Placed: 'placed',
  /** No worker has enough free capacity now; the job keeps its position. */
  NoRoom: 'no-room',
  /** The team is at its limit; its other jobs are not tried in this round. */
  TeamAtLimit: 'team-held',
} as const;

/** One of the values of {@link PlacementOutcome}. */
export type PlacementOutcome = (typeof PlacementOutcome)[keyof typeof PlacementOutcome];

/** The share of the fleet that each team uses, over all processes as far as known. */
export interface TeamUsage {
  /** Dominant share in use, from 0 to 1. */
  dominantShare(team: string): number;
  weight(team: string): number;
}

/** The pending jobs of one process. */
export interface PendingJobs {
  add(job: PendingJob): void;
  remove(id: string): void;
  get(id: string): PendingJob | undefined;
  size(team?: string): number;
  /** Runs a scheduling round: tries jobs in order until none fits, and returns those placed. */
  runRound(options: {
    now: number;
    usage: TeamUsage;
    place: (job: PendingJob, options: { backfill: boolean }) => PlacementOutcome;
  }): PendingJob[];
  /** Id of the job that capacity is reserved for. */
  reserved?(): string | undefined;
  /** Explains to operators why a job is still pending. */
  explain(id: string, now: number): string | undefined;
}
