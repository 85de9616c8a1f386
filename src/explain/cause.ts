/**
 * Determines the cause of a job's outcome from the log lines about it. The rules are tried in
 * order; the first one that applies gives the cause.
 */
import type { LogLine } from './log_line.ts';

/** Log lines about a job and about the processes and workers involved, in order of time. */
export interface Evidence {
  jobLines: LogLine[];
  contextLines: LogLine[];
}

type Rule = (evidence: Evidence) => string | undefined;

function findLines({ jobLines }: Evidence, event: string): LogLine[] {
  return jobLines.filter((line) => line.event === event);
}

function formatSeconds(fromMs: number, toMs: number): string {
  return `${((toMs - fromMs) / 1_000).toFixed(2)} s`;
}

function joinDistinct(values: Iterable<unknown>): string {
  return [...new Set([...values].map(String))].join(', ');
}

function isAccepted(evidence: Evidence): boolean {
  return ['job-accepted', 'job-taken', 'job-found'].some(
    (event) => findLines(evidence, event).length > 0,
  );
}

/** Reports a task that was started again although its previous start had not ended. */
function explainDoubleStart({ jobLines }: Evidence): string | undefined {
  const openStarts = new Map<string, LogLine>();
  for (const line of jobLines) {
    const task = String(line.fields.task);
    const previousStart = openStarts.get(task);
    if (line.event === 'ended') openStarts.delete(task);
    if (line.event !== 'started') continue;
    if (previousStart && previousStart.fields.attempt !== line.fields.attempt) {
      return (
        `task ${task} was started on ${String(line.fields.worker)} while its start on ` +
        `${String(previousStart.fields.worker)} had no end: a defect, unless a log line was dropped`
      );
    }
    openStarts.set(task, line);
  }
  return undefined;
}

function explainMalformedJob(evidence: Evidence): string | undefined {
  const [line] = findLines(evidence, 'job-rejected');
  return line && `the job was malformed: ${String(line.fields.reason)}`;
}

function explainRefusal(evidence: Evidence): string | undefined {
  const line = findLines(evidence, 'job-refused').at(-1);
  if (!line || isAccepted(evidence)) return undefined;
  const turnedAwayLine = findLines(evidence, 'job-turned-away').at(-1);
  const detail = turnedAwayLine ? ` (${String(turnedAwayLine.fields.reason)})` : '';
  return `refused by ${line.process}: ${String(line.fields.reason)}${detail}`;
}

function explainStoreFailure(evidence: Evidence): string | undefined {
  const line = findLines(evidence, 'job-not-stored').at(-1);
  if (!line || isAccepted(evidence)) return undefined;
  const hasLostStore = evidence.contextLines.some(
    ({ event, process }) => event === 'dependency-lost' && process === line.process,
  );
  const detail = hasLostStore ? '; the process had lost the store' : '';
  return `not stored by ${line.process}: ${String(line.fields.reason)}${detail}`;
}

function explainErrorResponse(evidence: Evidence): string | undefined {
  const line = findLines(evidence, 'call-not-served').findLast(
    ({ fields }) => fields.method === 'POST',
  );
  if (!line || isAccepted(evidence)) return undefined;
  return `answered ${String(line.fields.status)} by ${line.process}: ${String(line.fields.reason)}`;
}

function explainFailure(evidence: Evidence): string | undefined {
  const endLine = findLines(evidence, 'job-ended').find(({ fields }) => fields.state === 'failed');
  if (!endLine) return undefined;
  const failures = findLines(evidence, 'ended').filter(({ fields }) => fields.how === 'failed');
  const workers = new Set(failures.map(({ fields }) => fields.worker));
  const likelyFault =
    workers.size > 1
      ? 'several workers, so probably its own fault'
      : 'only one worker, so possibly the fault of that worker';
  return `failed: ${failures.length} runs failed on ${joinDistinct(workers)}: ${likelyFault}`;
}

function explainCancellation(evidence: Evidence): string | undefined {
  const endLine = findLines(evidence, 'job-ended').find(
    ({ fields }) => fields.state === 'cancelled',
  );
  return endLine && 'cancelled by its caller';
}

/** Reports how long a completed job waited and ran, and what prolonged it. */
function explainCompletion(evidence: Evidence): string | undefined {
  const endLine = findLines(evidence, 'job-ended').find(
    ({ fields }) => fields.state === 'completed',
  );
  const [firstLine] = evidence.jobLines;
  const [firstStart] = findLines(evidence, 'started');
  if (!endLine || !firstLine || !firstStart) return undefined;
  const waitText = `${formatSeconds(firstLine.time, firstStart.time)} until the first start`;
  const runText = `${formatSeconds(firstStart.time, endLine.time)} from then to the end`;
  const repeatedRuns = findLines(evidence, 'ended').filter(({ fields }) => fields.how !== 'done');
  const repeatText =
    repeatedRuns.length > 0
      ? `; ${repeatedRuns.length} runs had to be repeated (${joinDistinct(repeatedRuns.map(({ fields }) => fields.how))} on ` +
        `${joinDistinct(repeatedRuns.map(({ fields }) => fields.worker))})`
      : '';
  const takeovers = evidence.contextLines.filter(({ event }) => event === 'scheduler-won');
  const reasons = joinDistinct(takeovers.map(({ fields }) => fields.reason));
  const takeoverText =
    takeovers.length > 0 ? `; the scheduler was replaced meanwhile (${reasons})` : '';
  return `completed after ${formatSeconds(firstLine.time, endLine.time)}: ${waitText}, ${runText}${repeatText}${takeoverText}`;
}

/** Reports the last line about a job without a logged end, and what held its steps at that time. */
function explainMissingEnd({ jobLines, contextLines }: Evidence): string | undefined {
  const lastLine = jobLines.at(-1);
  if (!lastLine) return undefined;
  const loadLine = contextLines.findLast(({ event }) => event === 'scheduler-load');
  const heldText = loadLine
    ? `; held steps at that time: ${JSON.stringify(loadLine.fields.held)}`
    : '';
  return `no end is logged; the last line about it is ${lastLine.event} of ${lastLine.process}${heldText}`;
}

const rules: Rule[] = [
  explainDoubleStart,
  explainMalformedJob,
  explainRefusal,
  explainStoreFailure,
  explainErrorResponse,
  explainFailure,
  explainCancellation,
  explainCompletion,
  explainMissingEnd,
];

/**
 * Finds the cause of a job's outcome and describes it in a sentence.
 *
 * @example
 * findCause({ jobLines, contextLines }); // 'refused by edge-1: ...'
 */
export function findCause(evidence: Evidence): string {
  for (const rule of rules) {
    const cause = rule(evidence);
    if (cause !== undefined) return cause;
  }
  return 'nothing is logged about it';
}
