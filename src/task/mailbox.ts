/**
 * A bounded queue between the senders of messages and the one task that receives them.
 */

/** Receives messages in order; one consumer only. */
export interface Mailbox<Message> {
  /** Adds a message; false when the mailbox is full or closed. */
  post(message: Message): boolean;
  /** Resolves with the next message, or undefined once the mailbox is closed and empty. */
  take(): Promise<Message | undefined>;
  /** Takes all messages that wait, up to the limit, without waiting. */
  drain(limit?: number): Message[];
  size(): number;
  close(): void;
}

const defaultCapacity = 10_000;

/**
 * Makes a mailbox.
 *
 * @example
 * const mailbox = makeMailbox<string>();
 * mailbox.post('hello');
 * await mailbox.take();
 */
export function makeMailbox<Message>({
  capacity = defaultCapacity,
}: { capacity?: number } = {}): Mailbox<Message> {
  const messages: Message[] = [];
  let waiter: ((message: Message | undefined) => void) | undefined;
  let closed = false;
  return {
    post(message) {
      if (closed || messages.length >= capacity) return false;
      if (waiter) {
        const resolve = waiter;
        waiter = undefined;
        resolve(message);
      } else {
        messages.push(message);
      }
      return true;
    },
    take() {
      if (messages.length > 0) return Promise.resolve(messages.shift());
      if (closed) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        waiter = resolve;
      });
    },
    drain: (limit = messages.length) => messages.splice(0, limit),
    size: () => messages.length,
    close() {
      closed = true;
      waiter?.(undefined);
      waiter = undefined;
    },
  };
}
