/**
 * Collects requests to one other process into batches, so that a burst of requests needs only a few
 * HTTP exchanges.
 *
 * While fewer batches than the limit are in flight, a request is sent immediately; otherwise it is
 * added to the next batch.
 */

/** Sends requests in batches. */
export interface Batcher<Request, Result> {
  submit(request: Request): Promise<Result>;
}

/** How batches are sent. */
export interface BatchOptions<Request, Result> {
  /** Sends a batch; returns the results in the order of the requests, or undefined on failure. */
  send(requests: Request[]): Promise<Result[] | undefined>;
  /** Result of a request for which the batch returned none. */
  fallback: Result;
  /** Called if sending a batch throws; its requests resolve with the fallback. */
  onError(error: unknown): void;
  maxInFlight: number;
  maxRequests: number;
  /** Largest total size of a batch of several requests, by the sizes that `sizeOf` returns. */
  maxSize?: number;
  sizeOf?(request: Request): number;
}

interface PendingRequest<Request, Result> {
  request: Request;
  resolve(result: Result): void;
}

/**
 * Makes a batcher.
 *
 * @example
 * const options = { send, fallback: 'unknown', onError, maxInFlight: 2, maxRequests: 60 };
 * const batcher = makeBatcher(options);
 * await batcher.submit(job);
 */
export function makeBatcher<Request, Result>(
  options: BatchOptions<Request, Result>,
): Batcher<Request, Result> {
  const { send, fallback, onError, maxInFlight, maxRequests } = options;
  const { maxSize = Infinity, sizeOf = () => 0 } = options;
  const pending: PendingRequest<Request, Result>[] = [];
  let batchesInFlight = 0;

  async function trySend(requests: Request[]): Promise<Result[] | undefined> {
    try {
      return await send(requests);
    } catch (error) {
      onError(error);
      return undefined;
    }
  }

  /** Returns how many of the pending requests the next batch holds. */
  function countNext(): number {
    let size = 0;
    const candidates = pending.slice(0, maxRequests);
    const tooLarge = candidates.findIndex(({ request }, index) => {
      size += sizeOf(request);
      return index > 0 && size > maxSize;
    });
    return tooLarge === -1 ? candidates.length : tooLarge;
  }

  async function sendBatch(): Promise<void> {
    const batch = pending.splice(0, countNext());
    batchesInFlight += 1;
    const results = await trySend(batch.map(({ request }) => request));
    batchesInFlight -= 1;
    batch.forEach(({ resolve }, index) => resolve(results?.[index] ?? fallback));
    sendNext();
  }

  function sendNext(): void {
    if (pending.length === 0 || batchesInFlight >= maxInFlight) return;
    sendBatch().catch(onError);
  }

  return {
    submit: (request) =>
      new Promise((resolve) => {
        pending.push({ request, resolve });
        sendNext();
      }),
  };
}
