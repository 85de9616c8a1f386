import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member } from '../cell/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import type { ClientCall } from '../front/mod.ts';
import { makePeerGroup } from './peer_group.ts';
import type { PeerClient } from './peers.ts';

const test = suite('group of entry processes');

/** Relays a call to two processes, of which the first leaves the outcome open. */
async function relayAfter(first: ErrorKind | number, status: number, method: string) {
  const answers = [
    typeof first === 'number'
      ? Right({ status: first, body: '' })
      : Left(makeFailure(first, 'no answer')),
    Right({ status, body: '' }),
  ];
  const peers = { relay: async () => answers.shift() } as Partial<PeerClient> as PeerClient;
  const others = ['a', 'b'].map((address) => ({ address }) as Member);
  const group = makePeerGroup(peers, () => others);
  const result = await group.relay({ method } as ClientCall);
  return result.caseOf<unknown>({ Left: ({ kind }) => kind, Right: (answer) => answer.status });
}

test('a job that one process may have stored is not refused because the next one refuses it', async () => {
  for (const first of [504, ErrorKind.OutcomeUnknown]) {
    for (const status of [401, 404, 429, 503]) {
      assert.is(await relayAfter(first, status, 'POST'), ErrorKind.OutcomeUnknown);
    }
    assert.is(await relayAfter(first, 200, 'POST'), 200);
    assert.is(await relayAfter(first, 410, 'GET'), 410, 'a question leaves nothing open');
  }
  assert.is(await relayAfter(503, 429, 'POST'), 429);
});

test.run();
