/**
 * The timeline of one job from the logs of many processes: the lines about it in order, the events
 * of the processes and workers involved during that time, and the cause of the job's outcome.
 */
import { findCause } from './cause.ts';
import type { LogLine } from './log_line.ts';

/** Events without a job id that may explain what happened to a job. */
const contextEvents = new Set([
  'dependency-lost',
  'dependency-back',
  'scheduler-won',
  'scheduler-lost',
  'scheduler-load',
  'worker-lost',
  'worker-silent',
  'worker-draining',
]);

/** Events up to this long before a job's first line may still explain what happened to it. */
const contextLeadMs = 2_000;

function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

function formatLine({ time, process, event, fields }: LogLine, startMs: number): string {
  const offset = `${((time - startMs) / 1_000).toFixed(3)} s`.padStart(11);
  return `${offset}  ${process}  ${event}  ${formatFields(fields)}`.trimEnd();
}

/** Finds the lines about the processes and workers of the job while it was in flight. */
function findContextLines(lines: LogLine[], jobLines: LogLine[]): LogLine[] {
  const fromMs = jobLines[0]!.time - contextLeadMs;
  const toMs = jobLines.at(-1)!.time;
  const processes = new Set(jobLines.map(({ process }) => process));
  const workers = new Set(jobLines.map(({ fields }) => fields.worker));
  return lines.filter(
    ({ time, process, event, fields }) =>
      contextEvents.has(event) &&
      time >= fromMs &&
      time <= toMs &&
      (fields.worker === undefined ? processes.has(process) : workers.has(fields.worker)),
  );
}

/**
 * Formats the timeline of a job as lines of text; the last line gives the cause of its outcome.
 *
 * @example
 * formatTimeline(lines, '5c0e7a21d94b36f8').forEach((line) => out(line));
 */
export function formatTimeline(lines: LogLine[], id: string): string[] {
  const sorted = [...lines].sort((a, b) => a.time - b.time);
  const jobLines = sorted.filter((line) => line.id === id);
  if (jobLines.length === 0) return [`cause: nothing is logged about ${id}`];
  const contextLines = findContextLines(sorted, jobLines);
  // Load lines are frequent and only show what held the job at its end.
  const shownContextLines = contextLines.filter(({ event }) => event !== 'scheduler-load');
  const timeline = [...jobLines, ...shownContextLines].sort((a, b) => a.time - b.time);
  const startMs = jobLines[0]!.time;
  return [
    ...timeline.map((line) => formatLine(line, startMs)),
    `cause: ${findCause({ jobLines, contextLines })}`,
  ];
}
