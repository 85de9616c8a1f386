/**
 * The sockets of an HTTP server: their number, answers to bytes that are no request, and closing
 * without cutting off a request.
 */
import { Server as NetServer } from 'node:net';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import { formatRawResponse } from './_response.ts';

// Connections above the bound are kept this far, so that they can be answered before they close.
const spareConnections = 64;
// A request may be under way on a connection that looks idle. Balancers stop using a connection
// within this time after the process reports that it is not ready.
const idleGraceMs = 1_000;
const drainPollMs = 20;

/** Follows the connections of a server. */
export interface Connections {
  count(): number;
  /** True for a connection beyond the bound; its requests are refused. */
  isExcess(socket: Socket): boolean;
  /** True once the caller closed the connection or broke the protocol; its requests are over. */
  isClosedByClient(socket: Socket): boolean;
  /** Stops accepting, and resolves when every connection has ended. */
  close(openRequests: () => number): Promise<void>;
}

/**
 * Puts bounds on the connections of a server.
 *
 * @example
 * const connections = watchConnections({ server, maxConnections: 4_000, clock });
 */
export function trackConnections(options: {
  server: Server;
  maxConnections: number;
  maxHeaderBytes: number;
  clock: Clock;
}): Connections {
  const { server, maxConnections, maxHeaderBytes, clock } = options;
  const openSockets = new Set<Socket>();
  const excessSockets = new WeakSet<Socket>();
  const clientClosedSockets = new WeakSet<Duplex>();
  server.maxConnections = maxConnections + spareConnections;
  server.on('connection', (socket: Socket) => {
    openSockets.add(socket);
    if (openSockets.size > maxConnections) excessSockets.add(socket);
    socket.once('close', () => openSockets.delete(socket));
    socket.once('end', () => clientClosedSockets.add(socket));
    socket.once('error', () => clientClosedSockets.add(socket));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    clientClosedSockets.add(socket);
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const failure =
      error.code === 'HPE_HEADER_OVERFLOW'
        ? makeFailure(ErrorKind.HeaderTooLarge, 'the header is too large', {
            expected: `at most ${maxHeaderBytes} bytes`,
          })
        : makeFailure(ErrorKind.MalformedRequest, `the request is not HTTP: ${error.message}`);
    socket.end(formatRawResponse(failure));
  });
  return {
    count: () => openSockets.size,
    isClosedByClient: (socket) => clientClosedSockets.has(socket),
    isExcess: (socket) => excessSockets.has(socket),
    async close(openRequests) {
      // The close of an http.Server would also end idle connections at once.
      NetServer.prototype.close.call(server);
      let idleSince = clock.now();
      while (openSockets.size > 0) {
        if (openRequests() > 0) idleSince = clock.now();
        if (clock.now() - idleSince >= idleGraceMs) server.closeIdleConnections();
        await clock.sleep(drainPollMs);
      }
      // Ends the timer with which the server checks its connections.
      server.close();
    },
  };
}
