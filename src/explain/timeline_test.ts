import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { parseLog } from './log_line.ts';
import { formatTimeline } from './timeline.ts';

const test = suite('timeline of a job');

const id = '5c0e7a21d94b36f8';

type Fields = Record<string, unknown>;

function makeLine(time: number, event: string, fields: Fields = {}, process = 'edge-1'): string {
  return JSON.stringify({ level: 30, time, process, event, ...fields, msg: 'text' });
}

function makeJobLine(time: number, event: string, fields: Fields = {}, process?: string): string {
  return makeLine(time, event, { id, ...fields }, process);
}

function findCauseText(...texts: string[]): string {
  return formatTimeline(parseLog(texts.join('\n')).lines, id).at(-1)!;
}

test('the timeline lists the lines of several processes in order of time and omits unrelated lines', () => {
  const log = [
    makeJobLine(1_200, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    makeJobLine(1_000, 'job-accepted', {}, 'edge-2'),
    makeLine(1_100, 'started', { id: 'another', task: 'x' }),
    makeLine(1_150, 'worker-silent', { worker: 'i-1' }),
    makeLine(1_160, 'worker-silent', { worker: 'i-2' }),
  ];
  const timeline = formatTimeline(parseLog(log.join('\n')).lines, id);
  assert.equal(
    timeline.slice(0, -1).map((text) => text.trim().split(/\s+/)[3]),
    ['job-accepted', 'worker-silent', 'started'],
  );
});

test('a line truncated when its process was killed does not stop the parsing', () => {
  const { lines, skipped } = parseLog(
    `1.2 edge-1 ${makeJobLine(1, 'job-taken')}\n{"level":30,"ti\n`,
  );
  assert.is(lines.length, 1);
  assert.is(skipped, 1);
});

test('the cause of a refusal names the process and the reason', () => {
  const cause = findCauseText(makeJobLine(1, 'job-refused', { reason: 'the queue is busy' }));
  assert.is(cause, 'cause: refused by edge-1: the queue is busy');
});

test("a refusal for an organisation's limit is distinguished from one for its share", () => {
  const causeAfterTurningAway = (reason: string) =>
    findCauseText(
      makeJobLine(1, 'job-turned-away', { reason }),
      makeJobLine(2, 'job-refused', { reason: 'the scheduler has turned it away' }),
    );
  assert.match(causeAfterTurningAway('limit'), /turned it away \(limit\)/);
  assert.match(causeAfterTurningAway('share'), /turned it away \(share\)/);
});

test('a job that a process without the store never stored is distinguished from one stored later', () => {
  const storeLost = makeLine(500, 'dependency-lost', { table: 'op' });
  const notStored = makeJobLine(900, 'job-not-stored', { reason: 'no answer within 900 ms' });
  assert.match(findCauseText(storeLost, notStored), /not stored by edge-1.*had lost the store/);
  assert.not.match(
    findCauseText(storeLost, notStored, makeJobLine(950, 'job-accepted')),
    /not stored/,
  );
});

test('the cause of a call that no process could serve includes its status and the reason', () => {
  const call = { method: 'POST', status: 504, reason: 'the store does not answer' };
  const cause = findCauseText(
    makeJobLine(1, 'job-received'),
    makeJobLine(2, 'call-not-served', call),
  );
  assert.is(cause, 'cause: answered 504 by edge-1: the store does not answer');
});

test('a job that fails on several workers is distinguished from one that fails on a single worker', () => {
  const failedRun = (worker: string) =>
    makeJobLine(10, 'ended', { task: 't', how: 'failed', worker });
  const jobFailed = makeJobLine(20, 'job-ended', { state: 'failed' });
  assert.match(findCauseText(failedRun('i-1'), failedRun('i-2'), jobFailed), /its own fault/);
  assert.match(
    findCauseText(failedRun('i-1'), failedRun('i-1'), jobFailed),
    /fault of that worker/,
  );
});

test('the cause of a late job says where its time went and what prolonged it', () => {
  const cause = findCauseText(
    makeJobLine(0, 'job-taken'),
    makeLine(100, 'scheduler-won', { reason: 'the heartbeat has stopped' }),
    makeJobLine(2_500, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    makeJobLine(3_000, 'ended', { task: 't', attempt: 1, worker: 'i-1', how: 'expired' }),
    makeJobLine(3_100, 'started', { task: 't', attempt: 2, worker: 'i-2' }),
    makeJobLine(4_000, 'ended', { task: 't', attempt: 2, worker: 'i-2', how: 'done' }),
    makeJobLine(4_000, 'job-ended', { state: 'completed' }),
  );
  assert.match(cause, /completed after 4\.00 s: 2\.50 s until the first start, 1\.50 s/);
  assert.match(cause, /1 runs had to be repeated \(expired on i-1\)/);
  assert.match(cause, /replaced meanwhile \(the heartbeat has stopped\)/);
});

test('a second start without an end in between is reported as a defect', () => {
  const cause = findCauseText(
    makeJobLine(0, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    makeJobLine(50, 'started', { task: 't', attempt: 2, worker: 'i-2' }),
  );
  assert.match(cause, /started on i-2 while its start on i-1 had no end/);
});

test('the cause of a job without a logged end says what held it last', () => {
  const cause = findCauseText(
    makeJobLine(0, 'job-taken'),
    makeLine(50, 'scheduler-load', { held: { room: 3 } }),
    makeJobLine(100, 'advice', { allowed: 0 }),
  );
  assert.match(cause, /last line about it is advice of edge-1; held steps.*"room":3/);
});

test.run();
