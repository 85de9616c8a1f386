/**
 * Serves channels on the connections that an HTTP server has upgraded.
 */
import type { Socket } from 'node:net';

import { channelProtocol, encodeLines, makeTurnQueue, readLines } from './_messages.ts';
import type { RequestMessage, ResponseMessage } from './_messages.ts';

/** A request on a channel. */
export interface ChannelRequest {
  path: string;
  body: unknown;
}

/** The response of a handler. */
export interface ChannelResponse {
  status: number;
  body: unknown;
}

/** Serves channels. */
export interface ChannelServer {
  /** Serves a channel on a connection; `head` is what was read together with the upgrade. */
  accept(socket: Socket, head: Buffer): void;
  close(): void;
}

const serverErrorStatus = 500;

function parseRequest(line: string): RequestMessage {
  const message: unknown = JSON.parse(line);
  const [id, path] = Array.isArray(message) ? (message as unknown[]) : [];
  if (typeof id === 'number' && typeof path === 'string') return message as RequestMessage;
  throw new Error('a message of the channel is malformed');
}

/**
 * Makes a server of channels.
 *
 * @example
 * const channels = makeChannelServer({ handle, onError, onConnectionFailed });
 * server.on('upgrade', (_request, socket, head) => channels.accept(socket, head));
 */
export function makeChannelServer(options: {
  handle(request: ChannelRequest): Promise<ChannelResponse>;
  onError(error: unknown): void;
  /** Called when a connection has failed, as when the other process was killed. */
  onConnectionFailed(error: Error): void;
}): ChannelServer {
  const { handle, onError, onConnectionFailed } = options;
  const sockets = new Set<Socket>();

  async function respond([id, path, body]: RequestMessage): Promise<ResponseMessage> {
    try {
      const response = await handle({ path, body });
      return [id, response.status, response.body];
    } catch (error) {
      onError(error);
      return [id, serverErrorStatus, {}];
    }
  }

  return {
    accept(socket, head) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', onConnectionFailed);
      // The connections of an HTTP server stay half open otherwise.
      socket.on('end', () => socket.destroy());
      socket.on('close', () => sockets.delete(socket));
      socket.write(
        `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${channelProtocol}\r\n\r\n`,
      );
      const sendLater = makeTurnQueue<ResponseMessage>((messages) => {
        if (socket.writable) socket.write(encodeLines(messages));
      });
      readLines(socket, head, (line) => {
        respond(parseRequest(line)).then(sendLater, onError);
      });
    },
    close: () => sockets.forEach((socket) => socket.destroy()),
  };
}
