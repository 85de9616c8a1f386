/**
 * The stages of one job and how long each took, from the lines about it.
 *
 * A job may have many tasks; the stages from its first decision on are those of the task that was done
 * last, since the job waits for that one. They follow each other, so their sum is the duration of the
 * job. Only `store` overlaps with others: the answer to the client does not hold up the job.
 */
import type { LogLine } from './log_line.ts';

/** Names of the stages, in order. */
export const stages = [
  /** The entry process has the job; the scheduler has not. */
  'accept',
  /** The scheduler has the job; the entry process does not know yet that it is stored. */
  'store',
  /** Until the first starts are decided, calls for tickets left out. */
  'pass',
  /** Calls for tickets before the first starts. */
  'advice',
  /** From the first starts of the job to that of the task that was done last. */
  'rest',
  /** The decision is written to the store. */
  'write',
  /** The decision is stored; the order was not sent. */
  'send',
  /** The order was sent; the worker has not answered. For a rejected start since `job-begun`. */
  'answer',
  /** The worker runs the first attempt. */
  'worker',
  /** From the end of the first attempt to the end of the job. */
  'again',
] as const;

/** One of the stages. */
export type Stage = (typeof stages)[number];

/** What became of a job, by its objective; a job is late up to three times that. */
export const Outcome = {
  InTime: 'inTime',
  Late: 'late',
  /** Completed after three times its objective. */
  TooLate: 'tooLate',
  /** Failed or cancelled. */
  Other: 'other',
  Refused: 'refused',
  /** No end is logged. */
  Open: 'open',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** What the lines about a job tell of its time. */
export interface JobStages {
  queue: string;
  receivedAtMs: number;
  outcome: Outcome;
  /** Milliseconds of the stages that are known; of a job that has not begun, `pass` is a lower bound. */
  times: Partial<Record<Stage, number>>;
  /** Milliseconds that it was held before its first start, by reason. */
  held: Record<string, number>;
  /** A task of it had a second attempt. */
  isRepeated: boolean;
  /** How its runs ended that were not done. */
  badEnds: string[];
}

const lateFactor = 3;

function numberIn(line: LogLine | undefined, name: string): number | undefined {
  const value = line?.fields[name];
  return typeof value === 'number' ? value : undefined;
}

/** Time between two lines or times; undefined when one is missing. */
function between(fromMs: number | undefined, toMs: number | undefined): number | undefined {
  // The clocks of two hosts may differ a little.
  return fromMs === undefined || toMs === undefined ? undefined : Math.max(0, toMs - fromMs);
}

function withoutUnknown(times: Record<string, number | undefined>): Partial<Record<Stage, number>> {
  return Object.fromEntries(Object.entries(times).filter(([, ms]) => ms !== undefined));
}

/** The lines of the first attempt of the task that was done last. */
function decisiveRun(own: LogLine[]): { started?: LogLine; ended?: LogLine } {
  const runs = own.filter(({ event }) => event === 'started' || event === 'ended');
  const last = runs.findLast(({ fields }) => fields.how === 'done') ?? runs.at(-1);
  const ofTask = runs.filter(({ fields }) => fields.task === last?.fields.task);
  const attempt = Math.min(...ofTask.map((line) => numberIn(line, 'attempt') ?? Infinity));
  const ofRun = ofTask.filter((line) => numberIn(line, 'attempt') === attempt);
  const started = ofRun.find(({ event }) => event === 'started');
  const ended = ofRun.find(({ event }) => event === 'ended');
  return { ...(started && { started }), ...(ended && { ended }) };
}

/** The times until the first starts of a job are decided. */
function timesBefore(own: LogLine[], wait: LogLine | undefined) {
  const received = own.find(({ event }) => event === 'job-received');
  const taken = own.find(({ event }) => event === 'job-taken' || event === 'job-found');
  const accepted = own.find(({ event }) => event === 'job-accepted');
  const waitedMs = between(taken?.time, wait?.time);
  const adviceMs = own
    .filter(({ event, time }) => event === 'advice' && wait && time <= wait.time)
    .reduce((sum, line) => sum + (numberIn(line, 'tookMs') ?? 0), 0);
  const advice = waitedMs === undefined ? undefined : Math.min(adviceMs, waitedMs);
  return {
    accept: between(received?.time, taken?.time),
    store: between(taken?.time, accepted?.time),
    pass: waitedMs === undefined ? undefined : waitedMs - advice!,
    advice,
  };
}

/** The times of the decisive task from the first starts of its job on. */
function timesAfter(own: LogLine[], begun: LogLine | undefined) {
  const { started, ended } = decisiveRun(own);
  const jobEnd = own.find(({ event }) => event === 'job-ended');
  const again = between(ended?.time, jobEnd?.time);
  const afterMs = numberIn(started, 'afterMs');
  if (!started || afterMs === undefined) {
    // Without its first line the time of the run itself is not known, unless it did not take place.
    const isRejected = String(ended?.fields.reason).startsWith('rejected');
    return { answer: isRejected ? between(begun?.time, ended?.time) : undefined, again };
  }
  const storedMs = numberIn(started, 'storedAfterMs') ?? 0;
  const sentMs = numberIn(started, 'sentAfterMs') ?? storedMs;
  return {
    rest: between(begun?.time, started.time - afterMs),
    write: storedMs,
    send: sentMs - storedMs,
    answer: afterMs - sentMs,
    worker: between(started.time, ended?.time),
    again,
  };
}

function outcomeOf(own: LogLine[], receivedAtMs: number): Outcome {
  const end = own.find(({ event }) => event === 'job-ended');
  const known = own.find((line) => numberIn(line, 'objectiveMs') !== undefined);
  if (!end) {
    const isTaken = own.some(({ event }) => event === 'job-taken' || event === 'job-found');
    const isRefused = own.some(({ event }) => event === 'job-refused');
    return isRefused && !isTaken ? Outcome.Refused : Outcome.Open;
  }
  if (end.fields.state !== 'completed') return Outcome.Other;
  const objectiveMs = numberIn(known, 'objectiveMs') ?? Infinity;
  const durationMs = end.time - receivedAtMs;
  if (durationMs <= objectiveMs) return Outcome.InTime;
  return durationMs <= lateFactor * objectiveMs ? Outcome.Late : Outcome.TooLate;
}

/**
 * Works out the stages of a job from the lines about it, in the order of time; undefined for one of
 * which no entry process tells that it was received, or that is repeated at fixed times.
 *
 * @example
 * stagesOf(lines.filter((line) => line.id === id))?.times.pass; // 12
 */
export function stagesOf(own: LogLine[]): JobStages | undefined {
  const received = own.find(({ event }) => event === 'job-received');
  if (!received || own.some(({ fields }) => fields.intervalMs !== undefined)) return undefined;
  // A successor decides anew what its predecessor had not stored.
  const begun = own.findLast(({ event }) => event === 'job-begun');
  const wait = begun ?? own.findLast(({ event }) => event === 'job-too-late');
  const badEnds = own.filter(({ event, fields }) => event === 'ended' && fields.how !== 'done');
  return {
    queue: String(received.fields.queue),
    receivedAtMs: received.time,
    outcome: outcomeOf(own, received.time),
    times: withoutUnknown({ ...timesBefore(own, wait), ...timesAfter(own, begun) }),
    held: (wait?.fields.held ?? {}) as Record<string, number>,
    isRepeated: own.some((line) => (numberIn(line, 'attempt') ?? 0) > 1),
    badEnds: badEnds.map(({ fields }) => String(fields.how)),
  };
}
