/**
 * A bounded message queue between many senders and the one task that receives.
 */

/** A first-in, first-out message queue with a single consumer. */
export interface Mailbox<Message> {
  /** Adds a message; false when the mailbox is full or closed. */
  post(message: Message): boolean;
  /** Resolves with the next message, or undefined once the mailbox is closed and empty. */
  take(): Promise<Message | undefined>;
  /** Takes all queued messages, up to the limit, without waiting. */
  drain(limit?: number): Message[];
  size(): number;
  close(): void;
}

const defaultCapacity = 10_000;

/**
 * Makes a mailbox that holds up to `capacity` messages.
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
  let resolveTake: ((message: Message | undefined) => void) | undefined;
  let isClosed = false;
  return {
    post(message) {
      if (isClosed || messages.length >= capacity) return false;
      if (resolveTake) {
        const resolve = resolveTake;
        resolveTake = undefined;
        resolve(message);
      } else {
        messages.push(message);
      }
      return true;
    },
    take() {
      if (messages.length > 0) return Promise.resolve(messages.shift());
      if (isClosed) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        resolveTake = resolve;
      });
    },
    drain: (limit = messages.length) => messages.splice(0, limit),
    size: () => messages.length,
    close() {
      isClosed = true;
      resolveTake?.(undefined);
      resolveTake = undefined;
    },
  };
}
