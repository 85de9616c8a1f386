/**
 * Collects requests to one other process into batches, so that many requests cost few exchanges.
 *
 * Load answered: bursts of calls. While fewer batches are under way than the bound, a request is sent
 * at once; otherwise it joins the next batch.
 */

/** Sends requests in batches. */
export interface Batcher<Request, Result> {
  submit(request: Request): Promise<Result>;
}

/** How batches are sent. */
export interface BatchOptions<Request, Result> {
  /** Sends a batch; the results are in the order of the requests, undefined when there are none. */
  send(requests: Request[]): Promise<Result[] | undefined>;
  /** The result of a request whose batch gave none. */
  fallback: Result;
  /** Takes what sending a batch threw; its requests get no results. */
  onError(error: unknown): void;
  maxInFlight: number;
  maxRequests: number;
}

interface Waiting<Request, Result> {
  request: Request;
  resolve(result: Result): void;
}

/**
 * Makes the collector.
 *
 * @example
 * const batches = makeBatcher({ send, otherwise: 'unknown', onError, maxUnderWay: 2, maxRequests: 60 });
 * await batches.ask(job);
 */
export function makeBatcher<Request, Result>(
  options: BatchOptions<Request, Result>,
): Batcher<Request, Result> {
  const { send, fallback: otherwise, onError, maxInFlight: maxUnderWay, maxRequests } = options;
  const waiting: Waiting<Request, Result>[] = [];
  let underWay = 0;

  async function resultsOf(requests: Request[]): Promise<Result[] | undefined> {
    try {
      return await send(requests);
    } catch (error) {
      onError(error);
      return undefined;
    }
  }

  async function sendBatch(): Promise<void> {
    const batch = waiting.splice(0, maxRequests);
    underWay += 1;
    const results = await resultsOf(batch.map(({ request }) => request));
    underWay -= 1;
    batch.forEach(({ resolve }, index) => resolve(results?.[index] ?? otherwise));
    sendNext();
  }

  function sendNext(): void {
    if (waiting.length === 0 || underWay >= maxUnderWay) return;
    sendBatch().catch(onError);
  }

  return {
    submit: (request) =>
      new Promise((resolve) => {
        waiting.push({ request, resolve });
        sendNext();
      }),
  };
}
