/**
 * What a pass of the decision goes by and what it comes to.
 */
import type { Configuration, Organisation, Queue } from '../model/mod.ts';
import type { PendingAdviceRequest } from './tickets.ts';
import type { CellState, Job, QueueTerms, Run, Worker } from './state.ts';
import { recordWait } from './waiting.ts';

/** Why a step that has waiting tasks was not served in a pass. */
export const HoldReason = {
  /** Its organisation's upper limit is used up. */
  Limit: 'limit',
  /** Its organisation's share is used up; it is tried again after work of the others. */
  Share: 'share',
  /** No room on workers that may run it. */
  Room: 'room',
  /** No free call for tickets. */
  AdviceSlot: 'adviceSlot',
  /** A call for tickets is under way, or has just failed. */
  AdvicePending: 'advicePending',
  /** No worker with room is allowed to run it. */
  NotAllowed: 'notAllowed',
} as const;

/** One of the values of {@link HoldReason}. */
export type HoldReason = (typeof HoldReason)[keyof typeof HoldReason];

/** What is to be done. */
export interface Decisions<Slot = unknown> {
  /** Steps that were not served, by reason; a step may be counted twice in a pass. */
  held: Record<HoldReason, number>;
  starts: Run[];
  /** Jobs of which nothing was started and that from now on can only be done without worth. */
  tooLate: Job[];
  adviceRequests: PendingAdviceRequest<Slot>[];
}

/** What a pass goes by, apart from the state. */
export interface DecisionInputs<Slot = unknown> {
  nowMs: number;
  wallMs: number;
  configuration: Configuration;
  evacuated: ReadonlySet<string>;
  /** Time that passes between a decision and the arrival of its order at the worker. */
  orderDelayMs: number;
  /**
   * Takes a place for a call for tickets that takes about so long; undefined when there is none. A
   * call that is not urgent leaves places to others.
   */
  acquireAdviceSlot(expectedMs: number, isUrgent: boolean): Slot | undefined;
}

/** Queues and organisations of the configuration, by name. */
export interface ConfigurationIndex {
  queues: Map<string, Queue>;
  organisations: Map<string, Organisation>;
}

/** The usable workers that may run the steps of one kind. */
export interface EligibleWorkers {
  all: Worker[];
  ids: ReadonlySet<string>;
  /** The same, those with most room first that no call for tickets counts on. */
  byUncommittedCpu: Worker[];
}

/** One pass: its inputs, what is worked out once for all steps, and its decisions so far. */
export interface Pass<Slot = unknown> extends DecisionInputs<Slot> {
  state: CellState;
  configurationIndex: ConfigurationIndex;
  /** Workers that take new work now. */
  schedulable: Worker[];
  /** Those of them that may run a step, by service and required label; filled when asked for. */
  eligible: Map<string, EligibleWorkers>;
  /** The steps served now still are worth something. */
  isUrgent: boolean;
  /** Queues for whose steps there is no further call for tickets in this pass. */
  queuesWithoutSlot: Set<string>;
  /** Processor that is each organisation's share of them. */
  shares: ReadonlyMap<string, number>;
  decisions: Decisions<Slot>;
}

/** Notes that a step was not served, and why. */
export function recordHold({ decisions, nowMs }: Pass, job: Job, reason: HoldReason): void {
  decisions.held[reason] += 1;
  recordWait(job, reason, nowMs);
}

/** The figures of a job's queue: those in force, or those at acceptance once the queue is gone. */
export function getQueueTerms(job: Job, queue: Queue | undefined): QueueTerms {
  return queue ?? job.accepted.terms;
}
