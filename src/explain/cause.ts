/**
 * The cause of what became of a job, from the lines about it. The rules are tried in order; the first
 * that applies tells the cause.
 */
import type { LogLine } from './log_line.ts';

/** The lines about a job, and those about the processes and workers that it met, in order. */
export interface Evidence {
  own: LogLine[];
  surroundings: LogLine[];
}

type Rule = (evidence: Evidence) => string | undefined;

function linesOf({ own }: Evidence, event: string): LogLine[] {
  return own.filter((line) => line.event === event);
}

function seconds(fromMs: number, toMs: number): string {
  return `${((toMs - fromMs) / 1_000).toFixed(2)} s`;
}

function list(values: Iterable<unknown>): string {
  return [...new Set([...values].map(String))].join(', ');
}

function wasTaken(evidence: Evidence): boolean {
  return ['job-accepted', 'job-taken', 'job-found'].some(
    (event) => linesOf(evidence, event).length > 0,
  );
}

/** A task that was started again while its last start had no end. */
function startedTwice({ own }: Evidence): string | undefined {
  const open = new Map<string, LogLine>();
  for (const line of own) {
    const task = String(line.fields.task);
    const last = open.get(task);
    if (line.event === 'ended') open.delete(task);
    if (line.event !== 'started') continue;
    if (last && last.fields.attempt !== line.fields.attempt) {
      return (
        `task ${task} was started on ${String(line.fields.worker)} while its start on ` +
        `${String(last.fields.worker)} had no end: a defect, unless a line was dropped`
      );
    }
    open.set(task, line);
  }
  return undefined;
}

function rejected(evidence: Evidence): string | undefined {
  const [line] = linesOf(evidence, 'job-rejected');
  return line && `the job was malformed: ${String(line.fields.reason)}`;
}

function refused(evidence: Evidence): string | undefined {
  const line = linesOf(evidence, 'job-refused').at(-1);
  if (!line || wasTaken(evidence)) return undefined;
  const turnedAway = linesOf(evidence, 'job-turned-away').at(-1);
  const why = turnedAway ? ` (${String(turnedAway.fields.reason)})` : '';
  return `refused by ${line.process}: ${String(line.fields.reason)}${why}`;
}

function notStored(evidence: Evidence): string | undefined {
  const line = linesOf(evidence, 'job-not-stored').at(-1);
  if (!line || wasTaken(evidence)) return undefined;
  const lost = evidence.surroundings.some(
    ({ event, process }) => event === 'dependency-lost' && process === line.process,
  );
  const why = lost ? '; the process had lost the store' : '';
  return `not stored by ${line.process}: ${String(line.fields.reason)}${why}`;
}

function notServed(evidence: Evidence): string | undefined {
  const line = linesOf(evidence, 'call-not-served').findLast(
    ({ fields }) => fields.method === 'POST',
  );
  if (!line || wasTaken(evidence)) return undefined;
  return `answered ${String(line.fields.status)} by ${line.process}: ${String(line.fields.reason)}`;
}

function failed(evidence: Evidence): string | undefined {
  const end = linesOf(evidence, 'job-ended').find(({ fields }) => fields.state === 'failed');
  if (!end) return undefined;
  const failures = linesOf(evidence, 'ended').filter(({ fields }) => fields.how === 'failed');
  const workers = new Set(failures.map(({ fields }) => fields.worker));
  const whose =
    workers.size > 1
      ? 'several workers, so probably by its own fault'
      : 'one worker only, so perhaps by fault of that worker';
  return `failed: ${failures.length} runs failed on ${list(workers)}: ${whose}`;
}

function cancelled(evidence: Evidence): string | undefined {
  const end = linesOf(evidence, 'job-ended').find(({ fields }) => fields.state === 'cancelled');
  return end && 'cancelled by its caller';
}

/** The longest of the times that a completed job took, and what prolonged it. */
function completed(evidence: Evidence): string | undefined {
  const end = linesOf(evidence, 'job-ended').find(({ fields }) => fields.state === 'completed');
  const [first] = evidence.own;
  const [start] = linesOf(evidence, 'started');
  if (!end || !first || !start) return undefined;
  const waits = `${seconds(first.time, start.time)} until the first start`;
  const works = `${seconds(start.time, end.time)} from there to the end`;
  const again = linesOf(evidence, 'ended').filter(({ fields }) => fields.how !== 'done');
  const repeats =
    again.length > 0
      ? `; ${again.length} runs had to be repeated (${list(again.map(({ fields }) => fields.how))} on ` +
        `${list(again.map(({ fields }) => fields.worker))})`
      : '';
  const takeovers = evidence.surroundings.filter(({ event }) => event === 'scheduler-won');
  const reasons = list(takeovers.map(({ fields }) => fields.reason));
  const replaced =
    takeovers.length > 0 ? `; the scheduler was replaced meanwhile (${reasons})` : '';
  return `completed after ${seconds(first.time, end.time)}: ${waits}, ${works}${repeats}${replaced}`;
}

/** What keeps a job that has no end, by the last line about it. */
function unfinished({ own, surroundings }: Evidence): string | undefined {
  const last = own.at(-1);
  if (!last) return undefined;
  const load = surroundings.findLast(({ event }) => event === 'scheduler-load');
  const held = load ? `; held steps at that time: ${JSON.stringify(load.fields.held)}` : '';
  return `no end is logged; the last line about it is ${last.event} of ${last.process}${held}`;
}

const rules: Rule[] = [
  startedTwice,
  rejected,
  refused,
  notStored,
  notServed,
  failed,
  cancelled,
  completed,
  unfinished,
];

/**
 * Tells the cause in a sentence.
 *
 * @example
 * causeOf({ own, surroundings }); // 'refused by edge-1: ...'
 */
export function causeOf(evidence: Evidence): string {
  for (const rule of rules) {
    const cause = rule(evidence);
    if (cause !== undefined) return cause;
  }
  return 'nothing is logged about it';
}
