import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { parseLog } from './log_line.ts';
import { storyOf } from './timeline.ts';

const test = suite('story of a job');

const id = '5c0e7a21d94b36f8';

type Fields = Record<string, unknown>;

function line(time: number, event: string, fields: Fields = {}, process = 'edge-1'): string {
  return JSON.stringify({ level: 30, time, process, event, ...fields, msg: 'text' });
}

function about(time: number, event: string, fields: Fields = {}, process?: string): string {
  return line(time, event, { id, ...fields }, process);
}

function causeIn(...texts: string[]): string {
  return storyOf(parseLog(texts.join('\n')).lines, id).at(-1)!;
}

test('lines of several processes stand in the order of time, others are left out', () => {
  const log = [
    about(1_200, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    about(1_000, 'job-accepted', {}, 'edge-2'),
    line(1_100, 'started', { id: 'another', task: 'x' }),
    line(1_150, 'worker-silent', { worker: 'i-1' }),
    line(1_160, 'worker-silent', { worker: 'i-2' }),
  ];
  const story = storyOf(parseLog(log.join('\n')).lines, id);
  assert.equal(
    story.slice(0, -1).map((text) => text.trim().split(/\s+/)[3]),
    ['job-accepted', 'worker-silent', 'started'],
  );
});

test('a line that was cut off when its process was killed does not end the reading', () => {
  const { lines, skipped } = parseLog(`1.2 edge-1 ${about(1, 'job-taken')}\n{"level":30,"ti\n`);
  assert.is(lines.length, 1);
  assert.is(skipped, 1);
});

test('a refusal tells who refused and why', () => {
  const cause = causeIn(about(1, 'job-refused', { reason: 'the queue is busy' }));
  assert.is(cause, 'cause: refused by edge-1: the queue is busy');
});

test('a refusal for the limit of an organisation is told from one for its share', () => {
  const refusedAfter = (reason: string) =>
    causeIn(
      about(1, 'job-turned-away', { reason }),
      about(2, 'job-refused', { reason: 'the scheduler has turned it away' }),
    );
  assert.match(refusedAfter('limit'), /turned it away \(limit\)/);
  assert.match(refusedAfter('share'), /turned it away \(share\)/);
});

test('a job that a process without the store could not keep is told from one that was stored later', () => {
  const lost = line(500, 'dependency-lost', { table: 'op' });
  const notStored = about(900, 'job-not-stored', { reason: 'no answer within 900 ms' });
  assert.match(causeIn(lost, notStored), /not stored by edge-1.*had lost the store/);
  assert.not.match(causeIn(lost, notStored, about(950, 'job-accepted')), /not stored/);
});

test('a call that nobody could serve tells its status and why', () => {
  const call = { method: 'POST', status: 504, reason: 'the store does not answer' };
  const cause = causeIn(about(1, 'job-received'), about(2, 'call-not-served', call));
  assert.is(cause, 'cause: answered 504 by edge-1: the store does not answer');
});

test('a job that fails on several workers is told from one that fails on one', () => {
  const end = (worker: string) => about(10, 'ended', { task: 't', how: 'failed', worker });
  const failed = about(20, 'job-ended', { state: 'failed' });
  assert.match(causeIn(end('i-1'), end('i-2'), failed), /its own fault/);
  assert.match(causeIn(end('i-1'), end('i-1'), failed), /fault of that worker/);
});

test('a late job tells where its time went and what prolonged it', () => {
  const cause = causeIn(
    about(0, 'job-taken'),
    line(100, 'scheduler-won', { reason: 'the heartbeat has stopped' }),
    about(2_500, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    about(3_000, 'ended', { task: 't', attempt: 1, worker: 'i-1', how: 'expired' }),
    about(3_100, 'started', { task: 't', attempt: 2, worker: 'i-2' }),
    about(4_000, 'ended', { task: 't', attempt: 2, worker: 'i-2', how: 'done' }),
    about(4_000, 'job-ended', { state: 'completed' }),
  );
  assert.match(cause, /completed after 4\.00 s: 2\.50 s until the first start, 1\.50 s/);
  assert.match(cause, /1 runs had to be repeated \(expired on i-1\)/);
  assert.match(cause, /replaced meanwhile \(the heartbeat has stopped\)/);
});

test('a second start without an end in between is named as a defect', () => {
  const cause = causeIn(
    about(0, 'started', { task: 't', attempt: 1, worker: 'i-1' }),
    about(50, 'started', { task: 't', attempt: 2, worker: 'i-2' }),
  );
  assert.match(cause, /started on i-2 while its start on i-1 had no end/);
});

test('a job without an end tells what held it last', () => {
  const cause = causeIn(
    about(0, 'job-taken'),
    line(50, 'scheduler-load', { held: { room: 3 } }),
    about(100, 'advice', { allowed: 0 }),
  );
  assert.match(cause, /last line about it is advice of edge-1; held steps.*"room":3/);
});

test.run();
