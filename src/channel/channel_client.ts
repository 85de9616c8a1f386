/**
 * The client of a channel. It connects with the first request, and again with the first one after a
 * failure.
 *
 * A request without a response in time fails alone if other responses have arrived since it was sent.
 * Otherwise the connection may have gone silent for good: it is closed, and all requests on it fail.
 */
import { request as sendHttpRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { JsonClient, JsonResponse, NoResponse } from '../calls/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { channelProtocol, encodeLines, makeTurnQueue, readLines } from './_messages.ts';
import type { RequestMessage, ResponseMessage } from './_messages.ts';

interface PendingRequest {
  message: RequestMessage;
  /** Monotonic time at which it was written; undefined before. */
  sentAtMs?: number;
  resolve(result: JsonResponse | NoResponse): void;
  cancelTimer(): void;
}

/** Covers the wait for a busy process to accept the connection, unlike a timeout of TCP alone. */
const connectTimeoutMs = 1_500;
/** A peer that reads so slowly that this much waits for it gets no further messages. */
const maxBufferedBytes = 8 * 1024 * 1024;

/**
 * Makes the client of the channel to an address (`ip:port`).
 *
 * @example
 * const channel = makeChannelClient('10.0.0.7:7420', { clock: systemClock });
 * await channel.request({ method: 'POST', path: '/advise', body, timeoutMs: 500 });
 */
export function makeChannelClient(address: string, { clock }: { clock: Clock }): JsonClient {
  const pending = new Map<number, PendingRequest>();
  let socket: Socket | undefined;
  let isConnecting = false;
  let isClosed = false;
  let receivedAtMs = -Infinity;
  let requestCount = 0;

  function settle(entry: PendingRequest, result: JsonResponse | NoResponse): void {
    pending.delete(entry.message[0]);
    entry.cancelTimer();
    entry.resolve(result);
  }

  function failAll(error: NodeJS.ErrnoException): void {
    [...pending.values()].forEach((entry) =>
      settle(entry, {
        unsent: entry.sentAtMs === undefined,
        isConnectionRefused: error.code === 'ECONNREFUSED',
        reason: error.message || (error.code ?? error.name),
      }),
    );
  }

  function send(entries: PendingRequest[]): void {
    if (!socket) return;
    const unsent = entries.filter(
      ({ message: [id], sentAtMs }) => pending.has(id) && sentAtMs === undefined,
    );
    if (unsent.length === 0) return;
    const nowMs = clock.now();
    unsent.forEach((entry) => Object.assign(entry, { sentAtMs: nowMs }));
    socket.write(encodeLines(unsent.map(({ message }) => message)));
    if (socket.writableLength > maxBufferedBytes) {
      socket.destroy(new Error('the other process does not read its messages'));
    }
  }

  const sendLater = makeTurnQueue(send);

  function handleResponse(line: string): void {
    receivedAtMs = clock.now();
    const [id, status, body] = JSON.parse(line) as ResponseMessage;
    const entry = pending.get(id);
    if (entry) settle(entry, { status, body: (body ?? {}) as JsonResponse['body'] });
  }

  function open(opened: Socket, head: Buffer): void {
    isConnecting = false;
    if (isClosed) {
      opened.destroy();
      return;
    }
    socket = opened;
    opened.setNoDelay(true);
    let failure = new Error('the channel was closed');
    opened.on('error', (error) => {
      failure = error;
    });
    opened.on('close', () => {
      socket = undefined;
      failAll(failure);
    });
    readLines(opened, head, handleResponse);
    send([...pending.values()]);
  }

  function handleConnectFailure(error: Error): void {
    isConnecting = false;
    failAll(error);
  }

  function sendUpgrade(): void {
    const [host, port] = address.split(':');
    const upgrade = sendHttpRequest({
      host,
      port,
      agent: false,
      headers: { connection: 'Upgrade', upgrade: channelProtocol },
    });
    const cancelTimer = clock.startTimer(connectTimeoutMs, () =>
      upgrade.destroy(new Error(`no connection within ${connectTimeoutMs} ms`)),
    );
    upgrade.on('upgrade', (_response, opened, head) => {
      cancelTimer();
      open(opened, head);
    });
    upgrade.on('response', () => upgrade.destroy(new Error('the address serves no channels')));
    upgrade.on('error', (error) => {
      cancelTimer();
      handleConnectFailure(error);
    });
    upgrade.end();
  }

  function connect(): void {
    isConnecting = true;
    try {
      sendUpgrade();
    } catch (error) {
      // No connection can be made to such an address.
      handleConnectFailure(error as Error);
    }
  }

  function expire(entry: PendingRequest, timeoutMs: number): void {
    if (!pending.has(entry.message[0])) return;
    const { sentAtMs } = entry;
    const reason = `no answer within ${timeoutMs} ms`;
    settle(entry, { unsent: sentAtMs === undefined, isConnectionRefused: false, reason });
    if (sentAtMs !== undefined && receivedAtMs < sentAtMs) socket?.destroy(new Error(reason));
  }

  return {
    request: ({ path, body, timeoutMs }) =>
      new Promise((resolve) => {
        requestCount += 1;
        const entry: PendingRequest = {
          message: [requestCount, path, body],
          resolve,
          // A process that was busy or paused first handles the responses that have arrived meanwhile.
          cancelTimer: clock.startTimer(timeoutMs, () => {
            setImmediate(() => expire(entry, timeoutMs));
          }),
        };
        pending.set(requestCount, entry);
        if (socket) sendLater(entry);
        else if (!isConnecting) connect();
      }),
    close() {
      isClosed = true;
      socket?.destroy();
      failAll(new Error('the channel was closed'));
    },
  };
}
