/**
 * Messages of a channel, one JSON text a line. All messages of one turn of the event loop are written at
 * once, so that the cost of a message falls while a process is busy.
 */
import type { Socket } from 'node:net';
import { StringDecoder } from 'node:string_decoder';

/** A request: its number on the channel, its path and its body. */
export type RequestMessage = [id: number, path: string, body: unknown];

/** The response to the request with the same number. */
export type ResponseMessage = [id: number, status: number, body: unknown];

/** Name of the protocol in the upgrade of an HTTP connection. */
export const channelProtocol = 'dogwood-channel';

/** A longer line is rejected, so that a process cannot exhaust the memory of another one. */
const maxLineLength = 16 * 1024 * 1024;

/** Calls the handler with each line that arrives at a socket; an error of the handler ends the socket. */
export function readLines(socket: Socket, head: Buffer, onLine: (line: string) => void): void {
  const decoder = new StringDecoder('utf8');
  let rest = '';

  function read(chunk: Buffer): void {
    const lines = `${rest}${decoder.write(chunk)}`.split('\n');
    rest = lines.pop() ?? '';
    try {
      lines.forEach(onLine);
      if (rest.length > maxLineLength) throw new Error('a message of the channel is too long');
    } catch (error) {
      socket.destroy(error as Error);
    }
  }

  socket.on('data', read);
  if (head.length > 0) read(head);
}

/** Collects items and passes those of one turn of the event loop on together. */
export function makeTurnQueue<Item>(onFlush: (items: Item[]) => void): (item: Item) => void {
  let items: Item[] = [];
  return (item) => {
    items.push(item);
    if (items.length > 1) return;
    setImmediate(() => {
      const flushed = items;
      items = [];
      onFlush(flushed);
    });
  };
}

/** Encodes messages as lines. */
export function encodeLines(messages: (RequestMessage | ResponseMessage)[]): string {
  return messages.map((message) => `${JSON.stringify(message)}\n`).join('');
}
