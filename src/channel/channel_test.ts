import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { isNoResponse } from '../calls/mod.ts';
import type { JsonClient, JsonResponse, NoResponse } from '../calls/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { makeChannelClient, makeChannelServer } from './mod.ts';
import type { ChannelRequest, ChannelResponse } from './mod.ts';

const test = suite('channels between processes');

interface Connection {
  client: JsonClient;
  sockets: Socket[];
  errors: unknown[];
  failures: Error[];
}

async function withChannel(
  handle: (request: ChannelRequest) => Promise<ChannelResponse>,
  run: (connection: Connection) => Promise<void>,
): Promise<void> {
  const errors: unknown[] = [];
  const failures: Error[] = [];
  const sockets: Socket[] = [];
  const channels = makeChannelServer({
    handle,
    onError: (error) => errors.push(error),
    onConnectionFailed: (error) => failures.push(error),
  });
  const server: Server = createServer();
  server.on('upgrade', (_request, socket, head) => {
    sockets.push(socket as Socket);
    channels.accept(socket as Socket, head);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = makeChannelClient(`127.0.0.1:${port}`, { clock: systemClock });
  try {
    await run({ client, sockets, errors, failures });
  } finally {
    client.close();
    channels.close();
    server.close();
  }
}

function post(client: JsonClient, path: string, body: unknown = {}, timeoutMs = 2_000) {
  return client.request({ method: 'POST', path, body, timeoutMs });
}

function getBody(result: JsonResponse | NoResponse): unknown {
  return isNoResponse(result) ? result.reason : result.body;
}

test('responses that overtake each other reach their own requests, over one connection', () => {
  const release: (() => void)[] = [];
  return withChannel(
    async ({ path, body }) => {
      if (path === '/slow') {
        await new Promise<void>((resolve) => {
          release.push(resolve);
        });
      } else {
        release.forEach((resolve) => resolve());
      }
      return { status: 200, body: { path, body } };
    },
    async ({ client, sockets }) => {
      const slow = post(client, '/slow', { text: 'é\n✓' });
      const fast = post(client, '/fast');
      assert.equal(getBody(await fast), { path: '/fast', body: {} });
      assert.equal(getBody(await slow), { path: '/slow', body: { text: 'é\n✓' } });
      assert.is(sockets.length, 1);
    },
  );
});

test('a request that the other process cannot serve fails alone, and the error is reported', () =>
  withChannel(
    async ({ path }) => {
      if (path === '/defect') throw new Error('defect');
      return { status: 200, body: {} };
    },
    async ({ client, errors, sockets }) => {
      const [failed, served] = await Promise.all([post(client, '/defect'), post(client, '/ping')]);
      assert.is((failed as JsonResponse).status, 500);
      assert.is((served as JsonResponse).status, 200);
      assert.is(errors.length, 1);
      assert.is(sockets.length, 1);
    },
  ));

// Guards against a connection that has gone silent without a reset and would be used for ever.
test('a connection on which nothing arrives any more is replaced, and its requests may have been sent', () => {
  let isSilent = true;
  return withChannel(
    async () => {
      if (isSilent) await new Promise(() => {});
      return { status: 200, body: {} };
    },
    async ({ client, sockets }) => {
      const other = post(client, '/a', {}, 10_000);
      const result = await post(client, '/b', {}, 100);
      assert.is((result as NoResponse).unsent, false);
      assert.is(((await other) as NoResponse).unsent, false, 'it fails at once, too');
      isSilent = false;
      assert.is(((await post(client, '/c')) as JsonResponse).status, 200);
      assert.is(sockets.length, 2);
    },
  );
});

test('a request without a response in time does not end those that others wait for', () => {
  let answer: (() => void) | undefined;
  return withChannel(
    async ({ path }) => {
      if (path === '/never') await new Promise(() => {});
      if (path === '/late') {
        await new Promise<void>((resolve) => {
          answer = resolve;
        });
      }
      return { status: 200, body: {} };
    },
    async ({ client, sockets }) => {
      const late = post(client, '/late');
      const never = post(client, '/never', {}, 150);
      // Connects, so that both were sent before this response.
      assert.is(((await post(client, '/now')) as JsonResponse).status, 200);
      assert.ok(isNoResponse(await never));
      answer!();
      assert.is(((await late) as JsonResponse).status, 200);
      assert.is(sockets.length, 1);
    },
  );
});

test('requests to an address without a listener were certainly not sent', async () => {
  const client = makeChannelClient('127.0.0.1:1', { clock: systemClock });
  const results = await Promise.all([post(client, '/a'), post(client, '/b')]);
  results.forEach((result) => {
    assert.is((result as NoResponse).unsent, true);
    assert.is((result as NoResponse).isConnectionRefused, true);
  });
});

// Guards against a member row with a malformed address, which would leave a start order without an outcome.
test('requests to a malformed address fail, and were certainly not sent', async () => {
  for (const address of ['nowhere', '10.0.0.1:x', '10.0.0.1:99999']) {
    const client = makeChannelClient(address, { clock: systemClock });
    const result = await post(client, '/a', {}, 300);
    assert.is((result as NoResponse).unsent, true, address);
  }
});

test('a connection that the client closes does not stay open at the server', () =>
  withChannel(
    async () => ({ status: 200, body: {} }),
    async ({ client, sockets }) => {
      await post(client, '/a');
      const closing = new Promise((resolve) => {
        sockets[0]!.on('close', resolve);
      });
      client.close();
      await closing;
      assert.ok(sockets[0]!.destroyed);
    },
  ));

test('a malformed message ends the channel and not the process', () =>
  withChannel(
    async () => ({ status: 200, body: {} }),
    async ({ client, sockets, failures }) => {
      await post(client, '/a');
      const waiting = new Promise((resolve) => {
        sockets[0]!.on('close', resolve);
      });
      sockets[0]!.emit('data', Buffer.from('{}\n'));
      await waiting;
      assert.is(failures.length, 1);
      // The client may not have seen the end of the connection yet.
      while (isNoResponse(await post(client, '/b'))) await systemClock.sleep(1);
      assert.is(sockets.length, 2);
    },
  ));

test.run();
