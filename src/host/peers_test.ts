import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import { makePeerClient } from './peers.ts';

const test = suite('calls between entry processes');

/** The kind of failure of a submission that another process answers with the status. */
async function kindOf(status: number): Promise<ErrorKind | undefined> {
  const server = createServer((_request, response) => {
    response.writeHead(status, { connection: 'close' });
    response.end('{}');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const result = await makePeerClient(systemClock).submit(`127.0.0.1:${port}`, []);
  server.close();
  return result.swap().toMaybe().extract()?.kind;
}

test('jobs of which some may be stored are not taken for refused when the scheduler fails', async () => {
  assert.is(await kindOf(500), ErrorKind.OutcomeUnknown);
  assert.is(await kindOf(503), ErrorKind.PeerUnavailable);
  assert.is(await kindOf(413), ErrorKind.PeerUnavailable);
});

test.run();
