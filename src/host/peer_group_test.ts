import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member } from '../cell/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import type { ClientRequest } from '../front/mod.ts';
import { makePeerGroup } from './peer_group.ts';
import type { PeerClient } from './peer_client.ts';

const test = suite('peer group');

/** Relays a request to two processes and returns the kind of the failure or the status. */
async function relayToTwo(first: ErrorKind | number, status: number, method: string) {
  const responses = [
    typeof first === 'number'
      ? Right({ status: first, body: '' })
      : Left(makeFailure(first, 'no response')),
    Right({ status, body: '' }),
  ];
  const peers = { relay: async () => responses.shift() } as Partial<PeerClient> as PeerClient;
  const members = ['a', 'b'].map((address) => ({ address }) as Member);
  const group = makePeerGroup(peers, () => members);
  const result = await group.relay({ method } as ClientRequest);
  return result.caseOf<unknown>({ Left: ({ kind }) => kind, Right: (response) => response.status });
}

test('a job that one process may have stored is not reported as refused if the next one refuses it', async () => {
  for (const first of [504, ErrorKind.OutcomeUnknown]) {
    for (const status of [401, 404, 429, 503]) {
      assert.is(await relayToTwo(first, status, 'POST'), ErrorKind.OutcomeUnknown);
    }
    assert.is(await relayToTwo(first, 200, 'POST'), 200);
    assert.is(await relayToTwo(first, 410, 'GET'), 410, 'a GET has no unknown outcome');
  }
  assert.is(await relayToTwo(503, 429, 'POST'), 429);
});

test.run();
