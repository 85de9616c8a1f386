/**
 * Reports in which stages jobs spend their time, per queue and second, from the logs of many
 * processes.
 */
import { Outcome, stages, computeJobStages } from './job_stages.ts';
import type { JobStages, Stage } from './job_stages.ts';
import type { LogLine } from './log_line.ts';

/** The delays of one queue: column names, a row for each second and a row for all seconds. */
export interface QueueDelays {
  queue: string;
  rows: string[][];
}

/** The delays of all jobs in a set of logs. */
export interface Delays {
  /** Time of the first job, where second 0 begins; milliseconds since 1970. */
  startMs: number;
  queues: QueueDelays[];
}

const msPerSecond = 1_000;
const tailQuantile = 0.95;
const outcomes = Object.values(Outcome);
const columnNames = [
  'second',
  'jobs',
  ...outcomes,
  ...stages,
  'longest',
  'repeated',
  'badEnds',
  'held',
];

function groupBy<Item, Key>(items: Item[], keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
}

function computeMean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function computeTail(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * tailQuantile) - 1]!;
}

function collectTimes(jobs: JobStages[], stage: Stage): number[] {
  return jobs.flatMap(({ stageMs: times }) => times[stage] ?? []);
}

function formatTimes(times: number[]): string {
  return times.length === 0
    ? '-'
    : `${Math.round(computeMean(times))}/${Math.round(computeTail(times))}`;
}

/** Finds the stage with the largest total time over all jobs. */
function findLongestStage(jobs: JobStages[]): string {
  const totals = stages
    .filter((stage) => stage !== 'store')
    .map((stage) => ({ stage, total: collectTimes(jobs, stage).reduce((sum, ms) => sum + ms, 0) }));
  const [longest] = totals.sort((a, b) => b.total - a.total);
  return longest && longest.total > 0 ? longest.stage : '-';
}

/** Formats names with their counts, the largest count first. */
function formatCounts(counts: Map<string, number>): string {
  const sorted = [...counts].sort(([, a], [, b]) => b - a);
  return sorted.map(([name, count]) => `${name}:${Math.round(count)}`).join(',') || '-';
}

/** Formats the mean time over all jobs for which each reason held them. */
function formatHoldTimes(jobs: JobStages[]): string {
  const meanMs = new Map<string, number>();
  jobs.forEach(({ heldMs }) => {
    Object.entries(heldMs).forEach(([reason, ms]) => {
      meanMs.set(reason, (meanMs.get(reason) ?? 0) + ms / jobs.length);
    });
  });
  return formatCounts(new Map([...meanMs].filter(([, ms]) => Math.round(ms) > 0)));
}

function formatRow(second: string, jobs: JobStages[]): string[] {
  const endsByState = groupBy(
    jobs.flatMap((job) => job.unsuccessfulEnds),
    (state) => state,
  );
  return [
    second,
    String(jobs.length),
    ...outcomes.map((column) => String(jobs.filter(({ outcome }) => outcome === column).length)),
    ...stages.map((stage) => formatTimes(collectTimes(jobs, stage))),
    findLongestStage(jobs),
    String(jobs.filter(({ isRepeated }) => isRepeated).length),
    formatCounts(new Map([...endsByState].map(([state, ends]) => [state, ends.length]))),
    formatHoldTimes(jobs),
  ];
}

function computeQueueDelays(queue: string, jobs: JobStages[], startMs: number): QueueDelays {
  const jobsBySecond = groupBy(jobs, ({ receivedAtMs }) =>
    Math.floor((receivedAtMs - startMs) / msPerSecond),
  );
  const seconds = [...jobsBySecond].sort(([a], [b]) => a - b);
  return {
    queue,
    rows: [
      columnNames,
      ...seconds.map(([second, jobsOfSecond]) => formatRow(String(second), jobsOfSecond)),
      formatRow('all', jobs),
    ],
  };
}

/**
 * Computes the delays of all jobs in a set of logs, the queue with the most jobs first. Times are
 * the mean and the 95th percentile in milliseconds.
 *
 * @example
 * computeDelays(parseLog(text).lines).queues[0]?.rows.forEach((row) => out(row.join(' ')));
 */
export function computeDelays(lines: LogLine[]): Delays {
  const sortedLines = lines.filter(({ id }) => id !== undefined).sort((a, b) => a.time - b.time);
  const jobs = [...groupBy(sortedLines, ({ id }) => id).values()].flatMap(
    (jobLines) => computeJobStages(jobLines) ?? [],
  );
  const startMs = jobs.reduce(
    (earliestMs, job) => Math.min(earliestMs, job.receivedAtMs),
    Infinity,
  );
  const jobsByQueue = [...groupBy(jobs, ({ queue }) => queue)];
  return {
    startMs,
    queues: jobsByQueue
      .sort(([, a], [, b]) => b.length - a.length)
      .map(([queue, jobsOfQueue]) => computeQueueDelays(queue, jobsOfQueue, startMs)),
  };
}
