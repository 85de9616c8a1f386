import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import { makePeerClient } from './peers.ts';

const test = suite('requests between entry processes');

/** Submits jobs to a process that responds with the status, and returns the kind of the failure. */
async function submitAndGetErrorKind(status: number): Promise<ErrorKind | undefined> {
  const server = createServer((_request, response) => {
    response.writeHead(status, { connection: 'close' });
    response.end('{}');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const result = await makePeerClient(systemClock, { portOffset: 0 }).submit(
    `127.0.0.1:${port}`,
    [],
  );
  server.close();
  return result.swap().toMaybe().extract()?.kind;
}

test('jobs of which some may be stored have an unknown outcome if the scheduler fails', async () => {
  assert.is(await submitAndGetErrorKind(500), ErrorKind.OutcomeUnknown);
  assert.is(await submitAndGetErrorKind(503), ErrorKind.PeerUnavailable);
  assert.is(await submitAndGetErrorKind(413), ErrorKind.PeerUnavailable);
});

test.run();
