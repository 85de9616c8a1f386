import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { computeDelays } from './delays.ts';
import { parseLog } from './log_line.ts';

const test = suite('delays');

type Fields = Record<string, unknown>;

const logStartMs = 1_000_000;

/** Makes the lines about one job, of the entry process `edge-2` and the scheduler `edge-1`. */
function makeLines(id: string, lines: [time: number, event: string, fields?: Fields][]): string[] {
  const entryEvents = new Set(['job-received', 'job-accepted', 'job-refused']);
  return lines.map(([time, event, fields = {}]) => {
    const process = entryEvents.has(event) ? 'edge-2' : 'edge-1';
    return JSON.stringify({ level: 30, time: logStartMs + time, process, event, id, ...fields });
  });
}

/** Makes the lines of a lookup of two tasks; the second task starts later and ends last. */
function makeLookupLines(id: string, fromMs: number, objectiveMs: number): string[] {
  const at = (ms: number) => fromMs + ms;
  const makeRun = (task: string, attempt = 1) => ({
    task: `${id}.0.0.${task}`,
    attempt,
    worker: 'w1',
  });
  const startFields = { storedAfterMs: 10, sentAfterMs: 12, afterMs: 20, sends: 1 };
  return makeLines(id, [
    [at(0), 'job-received', { queue: 'lookups' }],
    [at(5), 'job-taken', { queue: 'lookups', objectiveMs }],
    [at(15), 'job-accepted'],
    [at(40), 'advice', { tookMs: 25 }],
    [at(45), 'job-begun', { held: { unseen: 8, adviceSlot: 12, advicePending: 25 } }],
    [at(65), 'started', { ...makeRun('0'), ...startFields }],
    [at(95), 'started', { ...makeRun('1'), ...startFields }],
    [at(300), 'ended', { ...makeRun('0'), how: 'done' }],
    [at(345), 'ended', { ...makeRun('1'), how: 'failed' }],
    [at(400), 'started', { ...makeRun('1', 2), ...startFields }],
    [at(500), 'ended', { ...makeRun('1', 2), how: 'done' }],
    [at(500), 'job-ended', { state: 'completed' }],
  ]);
}

function makeTables(...texts: string[]) {
  const { queues } = computeDelays(parseLog(texts.join('\n')).lines);
  return queues.map(({ queue, rows: [columnNames, ...rows] }) => ({
    queue,
    rows: rows.map((row) => Object.fromEntries(row.map((cell, i) => [columnNames![i]!, cell]))),
  }));
}

test('the stages of a job add up to its duration, so that the report accounts for all of its time', () => {
  const [queue] = makeTables(...makeLookupLines('a', 0, 600));
  const row = queue!.rows.at(-1)!;
  const times = {
    accept: '5/5',
    store: '10/10',
    pass: '15/15',
    advice: '25/25',
    rest: '30/30',
    write: '10/10',
    send: '2/2',
    answer: '8/8',
    worker: '250/250',
    again: '155/155',
  };
  Object.entries(times).forEach(([stage, expected]) => assert.is(row[stage], expected, stage));
  const sequentialStages = Object.entries(times).filter(([stage]) => stage !== 'store');
  assert.is(
    sequentialStages.reduce((sum, [, text]) => sum + Number.parseInt(text, 10), 0),
    500,
  );
  assert.is(row.longest, 'worker');
  assert.is(row.repeated, '1');
  assert.is(row.badEnds, 'failed:1');
  assert.is(row.held, 'advicePending:25,adviceSlot:12,unseen:8');
});

test('jobs count towards the second in which they were received, not the one in which they ended', () => {
  const [queue] = makeTables(
    ...makeLookupLines('a', 0, 600),
    ...makeLookupLines('b', 900, 400),
    ...makeLookupLines('c', 2_100, 100),
  );
  const rows = queue!.rows.map(({ second, jobs, inTime, late, tooLate }) =>
    [second, jobs, inTime, late, tooLate].join(' '),
  );
  assert.equal(rows, ['0 2 1 1 0', '2 1 0 0 1', 'all 3 1 1 1']);
});

test('each queue has its own table, so that a busy queue does not hide the delays of another one', () => {
  const refused = makeLines('r', [
    [0, 'job-received', { queue: 'plans' }],
    [2, 'job-refused', { reason: 'busy' }],
  ]);
  const queues = makeTables(
    ...refused,
    ...makeLookupLines('a', 0, 600),
    ...makeLookupLines('b', 0, 600),
  );
  assert.equal(
    queues.map(({ queue }) => queue),
    ['lookups', 'plans'],
  );
  assert.is(queues[1]!.rows[0]!.refused, '1');
});

test('a job without any started task reports what held it', () => {
  const held = { room: 2_000, unseen: 4 };
  const [queue] = makeTables(
    ...makeLines('a', [
      [0, 'job-received', { queue: 'lookups' }],
      [10, 'job-taken', { objectiveMs: 600 }],
      [2_010, 'job-too-late', { held }],
    ]),
  );
  const [row] = queue!.rows;
  assert.is(row!.open, '1');
  assert.is(row!.pass, '2000/2000');
  assert.is(row!.held, 'room:2000,unseen:4');
});

test('a job whose start a new scheduler decides again includes the wait for that scheduler', () => {
  const run = { task: 'a.0.0.0', attempt: 1, worker: 'w1' };
  const [queue] = makeTables(
    ...makeLines('a', [
      [0, 'job-received', { queue: 'lookups' }],
      [10, 'job-taken', { objectiveMs: 600 }],
      [20, 'job-begun', { held: { unseen: 10 } }],
      [1_500, 'job-found', { queue: 'lookups' }],
      [1_510, 'job-begun', { held: { unseen: 1_510 } }],
      [1_540, 'started', { ...run, afterMs: 30, sends: 1 }],
      [2_000, 'ended', { ...run, how: 'done' }],
      [2_000, 'job-ended', { state: 'completed' }],
    ]),
  );
  const [row] = queue!.rows;
  assert.is(row!.pass, '1500/1500');
  assert.is(row!.answer, '30/30');
  assert.is(row!.tooLate, '1');
});

test('a run whose `started` line was lost does not count as a slow response of the worker', () => {
  const run = { task: 'a.0.0.0', attempt: 1, worker: 'w1', how: 'done' };
  const makeRunLines = (reason: string) =>
    makeLines('a', [
      [0, 'job-received', { queue: 'lookups' }],
      [5, 'job-taken', { objectiveMs: 600 }],
      [10, 'job-begun', { held: {} }],
      [900, 'ended', { ...run, reason }],
    ]);
  assert.is(makeTables(...makeRunLines('reported'))[0]!.rows[0]!.answer, '-');
  assert.is(makeTables(...makeRunLines('rejected: ticket'))[0]!.rows[0]!.answer, '890/890');
});

test.run();
