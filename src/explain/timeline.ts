/**
 * The story of one job from the logs of many processes: what was logged about it, in order, with what
 * happened meanwhile to the processes and workers that it met, and the cause of what became of it.
 */
import { causeOf } from './cause.ts';
import type { LogLine } from './log_line.ts';

/** Events without a job's id that explain what jobs meet. */
const surroundingEvents = new Set([
  'dependency-lost',
  'dependency-back',
  'scheduler-won',
  'scheduler-lost',
  'scheduler-load',
  'worker-lost',
  'worker-silent',
  'worker-draining',
]);

/** What happened so long before a job's first line, in milliseconds, may still explain it. */
const leadMs = 2_000;

function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

function formatLine({ time, process, event, fields }: LogLine, startMs: number): string {
  const offset = `${((time - startMs) / 1_000).toFixed(3)} s`.padStart(11);
  return `${offset}  ${process}  ${event}  ${formatFields(fields)}`.trimEnd();
}

/** Lines about the processes and workers that the job met, while it was under way. */
function surroundingsOf(lines: LogLine[], own: LogLine[]): LogLine[] {
  const fromMs = own[0]!.time - leadMs;
  const toMs = own.at(-1)!.time;
  const processes = new Set(own.map(({ process }) => process));
  const workers = new Set(own.map(({ fields }) => fields.worker));
  return lines.filter(
    ({ time, process, event, fields }) =>
      surroundingEvents.has(event) &&
      time >= fromMs &&
      time <= toMs &&
      (fields.worker === undefined ? processes.has(process) : workers.has(fields.worker)),
  );
}

/**
 * Writes the story of a job; the last line tells the cause.
 *
 * @example
 * storyOf(lines, '5c0e7a21d94b36f8').forEach((line) => out(line));
 */
export function storyOf(lines: LogLine[], id: string): string[] {
  const sorted = [...lines].sort((a, b) => a.time - b.time);
  const own = sorted.filter((line) => line.id === id);
  if (own.length === 0) return [`cause: nothing is logged about ${id}`];
  const surroundings = surroundingsOf(sorted, own);
  // Loads are many and only tell what held the job at its end.
  const shown = surroundings.filter(({ event }) => event !== 'scheduler-load');
  const story = [...own, ...shown].sort((a, b) => a.time - b.time);
  const startMs = own[0]!.time;
  return [
    ...story.map((line) => formatLine(line, startMs)),
    `cause: ${causeOf({ own, surroundings })}`,
  ];
}
