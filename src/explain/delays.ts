/**
 * Where the time of jobs goes, second by second and for each queue, from the logs of many processes.
 */
import { Outcome, stages, stagesOf } from './job_stages.ts';
import type { JobStages, Stage } from './job_stages.ts';
import type { LogLine } from './log_line.ts';

/** The delays of one queue: a heading and a row for each second and for all of them. */
export interface QueueDelays {
  queue: string;
  rows: string[][];
}

/** The delays that some logs tell. */
export interface Delays {
  /** Time of the first job, from which the seconds count; milliseconds since 1970. */
  startMs: number;
  queues: QueueDelays[];
}

const msPerSecond = 1_000;
const tailQuantile = 0.95;
const outcomes = Object.values(Outcome);
const heading = [
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

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function tail(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * tailQuantile) - 1]!;
}

function timesOf(jobs: JobStages[], stage: Stage): number[] {
  return jobs.flatMap(({ times }) => times[stage] ?? []);
}

function formatTimes(times: number[]): string {
  return times.length === 0 ? '-' : `${Math.round(mean(times))}/${Math.round(tail(times))}`;
}

/** The stage that takes most time of all the jobs together. */
function longestStage(jobs: JobStages[]): string {
  const totals = stages
    .filter((stage) => stage !== 'store')
    .map((stage) => ({ stage, total: timesOf(jobs, stage).reduce((sum, ms) => sum + ms, 0) }));
  const [first] = totals.sort((a, b) => b.total - a.total);
  return first && first.total > 0 ? first.stage : '-';
}

/** Names with their numbers, the largest first. */
function formatCounts(counts: Map<string, number>): string {
  const sorted = [...counts].sort(([, a], [, b]) => b - a);
  return sorted.map(([name, count]) => `${name}:${Math.round(count)}`).join(',') || '-';
}

/** Mean time over all jobs that each reason has held them. */
function formatHeld(jobs: JobStages[]): string {
  const means = new Map<string, number>();
  jobs.forEach(({ held }) => {
    Object.entries(held).forEach(([reason, ms]) => {
      means.set(reason, (means.get(reason) ?? 0) + ms / jobs.length);
    });
  });
  return formatCounts(new Map([...means].filter(([, ms]) => Math.round(ms) > 0)));
}

function rowOf(second: string, jobs: JobStages[]): string[] {
  const badEnds = groupBy(
    jobs.flatMap((job) => job.badEnds),
    (how) => how,
  );
  return [
    second,
    String(jobs.length),
    ...outcomes.map((each) => String(jobs.filter(({ outcome }) => outcome === each).length)),
    ...stages.map((stage) => formatTimes(timesOf(jobs, stage))),
    longestStage(jobs),
    String(jobs.filter(({ isRepeated }) => isRepeated).length),
    formatCounts(new Map([...badEnds].map(([how, ends]) => [how, ends.length]))),
    formatHeld(jobs),
  ];
}

function delaysOf(queue: string, jobs: JobStages[], startMs: number): QueueDelays {
  const bySecond = groupBy(jobs, ({ receivedAtMs }) =>
    Math.floor((receivedAtMs - startMs) / msPerSecond),
  );
  const seconds = [...bySecond].sort(([a], [b]) => a - b);
  return {
    queue,
    rows: [
      heading,
      ...seconds.map(([second, each]) => rowOf(String(second), each)),
      rowOf('all', jobs),
    ],
  };
}

/**
 * Works out the delays of all jobs in some logs, those of the queue with most jobs first. Times are in
 * milliseconds, mean and 95th percentile.
 *
 * @example
 * delaysIn(parseLog(text).lines).queues[0]?.rows.forEach((row) => out(row.join(' ')));
 */
export function delaysIn(lines: LogLine[]): Delays {
  const sorted = lines.filter(({ id }) => id !== undefined).sort((a, b) => a.time - b.time);
  const jobs = [...groupBy(sorted, ({ id }) => id).values()].flatMap((own) => stagesOf(own) ?? []);
  const startMs = jobs.reduce((first, job) => Math.min(first, job.receivedAtMs), Infinity);
  const byQueue = [...groupBy(jobs, ({ queue }) => queue)];
  return {
    startMs,
    queues: byQueue
      .sort(([, a], [, b]) => b.length - a.length)
      .map(([queue, each]) => delaysOf(queue, each, startMs)),
  };
}
