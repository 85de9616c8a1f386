/**
 * Inputs, intermediate values and results of one scheduling pass.
 */
import type { Configuration, Organisation, Queue } from '../model/mod.ts';
import type { PendingAdviceRequest } from './tickets.ts';
import type { CellState, Job, QueueTerms, Run, Worker } from './state.ts';
import { recordWait } from './waiting.ts';

/** Why a pass did not place a step that has pending tasks. */
export const HoldReason = {
  /** Its organisation's upper limit is used up. */
  Limit: 'limit',
  /** Its organisation's fair share is used up; it is tried again after work of the others. */
  Share: 'share',
  /** Its job has as many started tasks as its stored progress may list. */
  JobSize: 'jobSize',
  /** No eligible worker has enough free capacity. */
  Room: 'room',
  /** No slot for an advice request is free. */
  AdviceSlot: 'adviceSlot',
  /** An advice request is in flight or has just failed. */
  AdvicePending: 'advicePending',
  /** No worker with enough free capacity is allowed to run it. */
  NotAllowed: 'notAllowed',
} as const;

/** One of the values of {@link HoldReason}. */
export type HoldReason = (typeof HoldReason)[keyof typeof HoldReason];

/** The decisions of a pass, which the caller carries out. */
export interface Decisions<Slot = unknown> {
  /** Number of steps that were not placed, by reason; a pass may count a step twice. */
  held: Record<HoldReason, number>;
  starts: Run[];
  /** Jobs without any start that were found to be too late for the first time. */
  tooLate: Job[];
  adviceRequests: PendingAdviceRequest<Slot>[];
  /** Jobs that were set aside because deciding about them failed. */
  failures: DecisionFailure[];
}

/** A job about which no decision could be made. */
export interface DecisionFailure {
  job: Job;
  error: unknown;
}

/** Time for which a job is set aside after a decision about it has failed. */
const setAsideMs = 5_000;

/**
 * Runs a decision about one job. If it throws, which only a defect or a malformed job causes, the job is
 * set aside for a while, so that the other jobs are not affected.
 */
export function guardJob<Result>(
  { failures }: Pick<Decisions, 'failures'>,
  { job, nowMs }: { job: Job; nowMs: number },
  decide: () => Result,
): Result | undefined {
  try {
    return decide();
  } catch (error) {
    Object.assign(job, { setAsideUntilMs: nowMs + setAsideMs });
    failures.push({ job, error });
    return undefined;
  }
}

/** The inputs of a pass, apart from the state. */
export interface DecisionInputs<Slot = unknown> {
  nowMs: number;
  wallMs: number;
  configuration: Configuration;
  /** Data centres out of service. */
  evacuated: ReadonlySet<string>;
  /** Time between a decision and the arrival of its start order at the worker. */
  orderDelayMs: number;
  /**
   * Acquires a slot for an advice request of the expected duration; undefined if none is free. A
   * request that is not urgent leaves slots for others.
   */
  acquireAdviceSlot(expectedMs: number, isUrgent: boolean): Slot | undefined;
}

/** Queues and organisations of the configuration, by name. */
export interface ConfigurationIndex {
  queues: Map<string, Queue>;
  organisations: Map<string, Organisation>;
}

/** The schedulable workers for steps of one service and required label. */
export interface EligibleWorkers {
  all: Worker[];
  ids: ReadonlySet<string>;
  /** The same workers, those with the most uncommitted CPU first. */
  byUncommittedCpu: Worker[];
}

/** One pass: its inputs, values computed once for all steps, and its decisions so far. */
export interface Pass<Slot = unknown> extends DecisionInputs<Slot> {
  state: CellState;
  configurationIndex: ConfigurationIndex;
  /** Workers that accept new tasks now. */
  schedulable: Worker[];
  /** Eligible workers by service and required label, computed on demand. */
  eligible: Map<string, EligibleWorkers>;
  /** Advice requests of the steps placed now are urgent. */
  isUrgent: boolean;
  /** Queues whose steps make no further advice request in this pass. */
  queuesWithoutSlot: Set<string>;
  /** Each organisation's fair share of the schedulable workers' CPU, in millicores. */
  shares: ReadonlyMap<string, number>;
  decisions: Decisions<Slot>;
}

/** Records that a step was not placed, and why. */
export function recordHold({ decisions, nowMs }: Pass, job: Job, reason: HoldReason): void {
  decisions.held[reason] += 1;
  recordWait(job, reason, nowMs);
}

/** Returns the current terms of a job's queue, or those at acceptance if the queue is gone. */
export function getQueueTerms(job: Job, queue: Queue | undefined): QueueTerms {
  return queue ?? job.accepted.terms;
}
