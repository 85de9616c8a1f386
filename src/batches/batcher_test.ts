import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeBatcher } from './batcher.ts';

const test = suite('batches');

function setUp(maxRequests = 10) {
  const sent: number[][] = [];
  const errors: unknown[] = [];
  const respond: ((results: string[] | undefined) => void)[] = [];
  const batcher = makeBatcher<number, string>({
    send(requests) {
      sent.push(requests);
      return new Promise((resolve) => {
        respond.push(resolve);
      });
    },
    fallback: 'none',
    onError: (error) => errors.push(error),
    maxInFlight: 1,
    maxRequests,
  });
  return { batcher, sent, respond, errors };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}

test('a burst of requests is sent in two batches, and each gets its own result', async () => {
  const { batcher, sent, respond } = setUp();
  const results = Promise.all([1, 2, 3, 4].map((request) => batcher.submit(request)));
  respond[0]!(['a']);
  await settle();
  respond[1]!(['b', 'c', 'd']);
  assert.equal(await results, ['a', 'b', 'c', 'd']);
  assert.equal(sent, [[1], [2, 3, 4]]);
});

test('a batch without results fails only its own requests, and a short one only its last', async () => {
  const { batcher, respond } = setUp(2);
  const results = [1, 2, 3].map((request) => batcher.submit(request));
  respond[0]!(undefined);
  await settle();
  respond[1]!(['b']);
  assert.equal(await Promise.all(results), ['none', 'b', 'none']);
});

test('an error while sending a batch is reported and does not block the next batch', async () => {
  const { batcher, respond, errors } = setUp();
  const results = [1, 2].map((request) => batcher.submit(request));
  const defect = new Error('defect');
  respond[0]!(Promise.reject(defect) as never);
  await settle();
  respond[1]!(['b']);
  assert.equal(await Promise.all(results), ['none', 'b']);
  assert.equal(errors, [defect]);
});

// Guards against a batch that is larger than the receiver accepts.
test('a batch ends before the request that would make it too large, and a large one goes alone', async () => {
  const sent: number[][] = [];
  const batcher = makeBatcher<number, string>({
    async send(requests) {
      sent.push(requests);
      return requests.map(String);
    },
    fallback: 'none',
    onError: () => undefined,
    maxInFlight: 1,
    maxRequests: 10,
    maxSize: 10,
    sizeOf: (request) => request,
  });
  await Promise.all([1, 6, 4, 1, 25, 2].map((request) => batcher.submit(request)));
  assert.equal(sent, [[1], [6, 4], [1], [25], [2]]);
});

test.run();
