/**
 * Computes how long each stage of a job took from the log lines about it.
 *
 * A job may have many tasks; from its first scheduling decision on, the stages are those of the
 * task that finished last, because it is the critical path of the job. The stages follow one
 * another, so their sum is the duration of the job. Only `store` overlaps with others, because the
 * job does not wait for the response to the client.
 */
import type { LogLine } from './log_line.ts';

/** Names of the stages, in order. */
export const stages = [
  /** From the request at the entry process until the scheduler has the job. */
  'accept',
  /** From then until the entry process knows that the job is stored. */
  'store',
  /** Until the scheduler decides on the first starts, without the time of advice requests. */
  'pass',
  /** Advice requests before the first starts. */
  'advice',
  /** From the decision on the first starts to that on the task that finished last. */
  'rest',
  /** Writing the decision to the store. */
  'write',
  /** From the stored decision until the start is sent to the worker. */
  'send',
  /** From sending the start to the response; for a rejected start, since `job-begun`. */
  'answer',
  /** Running the first attempt on the worker. */
  'worker',
  /** From the end of the first attempt to the end of the job. */
  'again',
] as const;

/** Name of a stage. */
export type Stage = (typeof stages)[number];

/** Outcome of a job relative to its objective; a job is late up to three times the objective. */
export const Outcome = {
  InTime: 'inTime',
  Late: 'late',
  /** Completed after more than three times its objective. */
  TooLate: 'tooLate',
  /** Failed or cancelled. */
  Other: 'other',
  Refused: 'refused',
  /** No end is logged. */
  Open: 'open',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** The stages of a job, as far as the lines about it show them. */
export interface JobStages {
  queue: string;
  receivedAtMs: number;
  outcome: Outcome;
  /** Times of the known stages; for a job that has not begun, `pass` is a lower bound. */
  stageMs: Partial<Record<Stage, number>>;
  /** Time for which the job was held before its first start, by reason. */
  heldMs: Record<string, number>;
  /** Whether a task of the job had a second attempt. */
  isRepeated: boolean;
  /** How the runs ended that did not succeed. */
  unsuccessfulEnds: string[];
}

const lateLimitFactor = 3;

function readNumber(line: LogLine | undefined, name: string): number | undefined {
  const value = line?.fields[name];
  return typeof value === 'number' ? value : undefined;
}

/** Computes the time between two lines; undefined when one of the times is missing. */
function computeElapsed(fromMs: number | undefined, toMs: number | undefined): number | undefined {
  // Clock skew between two hosts could make the difference negative.
  return fromMs === undefined || toMs === undefined ? undefined : Math.max(0, toMs - fromMs);
}

function omitUndefined(times: Record<string, number | undefined>): Partial<Record<Stage, number>> {
  return Object.fromEntries(Object.entries(times).filter(([, ms]) => ms !== undefined));
}

/** Finds the lines of the first attempt of the task that finished last. */
function findCriticalRun(jobLines: LogLine[]): { started?: LogLine; ended?: LogLine } {
  const runs = jobLines.filter(({ event }) => event === 'started' || event === 'ended');
  const lastLine = runs.findLast(({ fields }) => fields.how === 'done') ?? runs.at(-1);
  const taskLines = runs.filter(({ fields }) => fields.task === lastLine?.fields.task);
  const attempt = Math.min(...taskLines.map((line) => readNumber(line, 'attempt') ?? Infinity));
  const attemptLines = taskLines.filter((line) => readNumber(line, 'attempt') === attempt);
  const started = attemptLines.find(({ event }) => event === 'started');
  const ended = attemptLines.find(({ event }) => event === 'ended');
  return { ...(started && { started }), ...(ended && { ended }) };
}

/** Computes the stages until the scheduler decides on the first starts of a job. */
function computeTimesBeforeStart(jobLines: LogLine[], waitLine: LogLine | undefined) {
  const receivedLine = jobLines.find(({ event }) => event === 'job-received');
  const takenLine = jobLines.find(({ event }) => event === 'job-taken' || event === 'job-found');
  const acceptedLine = jobLines.find(({ event }) => event === 'job-accepted');
  const waitedMs = computeElapsed(takenLine?.time, waitLine?.time);
  const adviceMs = jobLines
    .filter(({ event, time }) => event === 'advice' && waitLine && time <= waitLine.time)
    .reduce((sum, line) => sum + (readNumber(line, 'tookMs') ?? 0), 0);
  const advice = waitedMs === undefined ? undefined : Math.min(adviceMs, waitedMs);
  return {
    accept: computeElapsed(receivedLine?.time, takenLine?.time),
    store: computeElapsed(takenLine?.time, acceptedLine?.time),
    pass: waitedMs === undefined ? undefined : waitedMs - advice!,
    advice,
  };
}

/** Computes the stages of the task that finished last, from the first starts of its job on. */
function computeTimesFromStart(jobLines: LogLine[], beginLine: LogLine | undefined) {
  const { started, ended } = findCriticalRun(jobLines);
  const jobEndLine = jobLines.find(({ event }) => event === 'job-ended');
  const again = computeElapsed(ended?.time, jobEndLine?.time);
  const afterMs = readNumber(started, 'afterMs');
  if (!started || afterMs === undefined) {
    // Without its `started` line the time of the run is unknown, unless the start was rejected.
    const isRejected = String(ended?.fields.reason).startsWith('rejected');
    return { answer: isRejected ? computeElapsed(beginLine?.time, ended?.time) : undefined, again };
  }
  const storedMs = readNumber(started, 'storedAfterMs') ?? 0;
  const sentMs = readNumber(started, 'sentAfterMs') ?? storedMs;
  return {
    rest: computeElapsed(beginLine?.time, started.time - afterMs),
    write: storedMs,
    send: sentMs - storedMs,
    answer: afterMs - sentMs,
    worker: computeElapsed(started.time, ended?.time),
    again,
  };
}

function determineOutcome(jobLines: LogLine[], receivedAtMs: number): Outcome {
  const end = jobLines.find(({ event }) => event === 'job-ended');
  const objectiveLine = jobLines.find((line) => readNumber(line, 'objectiveMs') !== undefined);
  if (!end) {
    const isTaken = jobLines.some(({ event }) => event === 'job-taken' || event === 'job-found');
    const isRefused = jobLines.some(({ event }) => event === 'job-refused');
    return isRefused && !isTaken ? Outcome.Refused : Outcome.Open;
  }
  if (end.fields.state !== 'completed') return Outcome.Other;
  const objectiveMs = readNumber(objectiveLine, 'objectiveMs') ?? Infinity;
  const durationMs = end.time - receivedAtMs;
  if (durationMs <= objectiveMs) return Outcome.InTime;
  return durationMs <= lateLimitFactor * objectiveMs ? Outcome.Late : Outcome.TooLate;
}

/**
 * Computes the stages of a job from the lines about it in order of time. Returns undefined if no
 * entry process logged that it received the job, or if the job recurs at fixed intervals.
 *
 * @example
 * computeJobStages(lines.filter((line) => line.id === id))?.stageMs.pass; // 12
 */
export function computeJobStages(jobLines: LogLine[]): JobStages | undefined {
  const receivedLine = jobLines.find(({ event }) => event === 'job-received');
  if (!receivedLine || jobLines.some(({ fields }) => fields.intervalMs !== undefined))
    return undefined;
  // A new scheduler repeats the decisions that its predecessor had not stored; the last one counts.
  const beginLine = jobLines.findLast(({ event }) => event === 'job-begun');
  const waitLine = beginLine ?? jobLines.findLast(({ event }) => event === 'job-too-late');
  const endLines = jobLines.filter(
    ({ event, fields }) => event === 'ended' && fields.how !== 'done',
  );
  return {
    queue: String(receivedLine.fields.queue),
    receivedAtMs: receivedLine.time,
    outcome: determineOutcome(jobLines, receivedLine.time),
    stageMs: omitUndefined({
      ...computeTimesBeforeStart(jobLines, waitLine),
      ...computeTimesFromStart(jobLines, beginLine),
    }),
    heldMs: (waitLine?.fields.held ?? {}) as Record<string, number>,
    isRepeated: jobLines.some((line) => (readNumber(line, 'attempt') ?? 0) > 1),
    unsuccessfulEnds: endLines.map(({ fields }) => String(fields.how)),
  };
}
