import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeBatcher } from './batcher.ts';

const test = suite('batches');

function setUp(maxRequests = 10) {
  const sent: number[][] = [];
  const errors: unknown[] = [];
  const answer: ((results: string[] | undefined) => void)[] = [];
  const batches = makeBatcher<number, string>({
    send(requests) {
      sent.push(requests);
      return new Promise((resolve) => {
        answer.push(resolve);
      });
    },
    fallback: 'none',
    onError: (error) => errors.push(error),
    maxInFlight: 1,
    maxRequests,
  });
  return { batches, sent, answer, errors };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}

test('a burst of requests costs two exchanges, and each gets its own result', async () => {
  const { batches, sent, answer } = setUp();
  const results = Promise.all([1, 2, 3, 4].map((request) => batches.submit(request)));
  answer[0]!(['a']);
  await settle();
  answer[1]!(['b', 'c', 'd']);
  assert.equal(await results, ['a', 'b', 'c', 'd']);
  assert.equal(sent, [[1], [2, 3, 4]]);
});

test('a batch without results fails its own requests only, and a short one its tail', async () => {
  const { batches, answer } = setUp(2);
  const results = [1, 2, 3].map((request) => batches.submit(request));
  answer[0]!(undefined);
  await settle();
  answer[1]!(['b']);
  assert.equal(await Promise.all(results), ['none', 'b', 'none']);
});

test('a batch whose sending throws is reported and does not block the next one', async () => {
  const { batches, answer, errors } = setUp();
  const results = [1, 2].map((request) => batches.submit(request));
  const defect = new Error('defect');
  answer[0]!(Promise.reject(defect) as never);
  await settle();
  answer[1]!(['b']);
  assert.equal(await Promise.all(results), ['none', 'b']);
  assert.equal(errors, [defect]);
});

test.run();
