/**
 * Tracks the connections of an HTTP server: limits their number, responds to data that is not valid
 * HTTP, and closes the server without cutting off requests.
 */
import { Server as NetServer } from 'node:net';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import { formatRawResponse } from './_response.ts';

// This many connections above the bound are accepted, to send an error response before closing them.
const spareConnections = 64;
// A request may be in flight on a connection that looks idle. Load balancers stop using connections
// within this time after the process reports that it is not ready.
const idleGraceMs = 1_000;
const drainPollMs = 20;

/** The open connections of a server. */
export interface Connections {
  count(): number;
  /** Whether the connection exceeds the bound; its requests are rejected. */
  isExcess(socket: Socket): boolean;
  /** Whether the client has closed the connection or violated the protocol, ending its requests. */
  isClosedByClient(socket: Socket): boolean;
  /** Stops accepting connections and resolves when all of them have closed. */
  close(openRequests: () => number): Promise<void>;
}

/**
 * Limits and tracks the connections of a server.
 *
 * @example
 * const connections = trackConnections({ server, maxConnections: 4_000, maxHeaderBytes: 8_192, clock });
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
      // `http.Server.close` would also close idle connections immediately.
      NetServer.prototype.close.call(server);
      let idleSince = clock.now();
      while (openSockets.size > 0) {
        if (openRequests() > 0) idleSince = clock.now();
        if (clock.now() - idleSince >= idleGraceMs) server.closeIdleConnections();
        await clock.sleep(drainPollMs);
      }
      // Stops the interval timer that checks connections for timeouts.
      server.close();
    },
  };
}
