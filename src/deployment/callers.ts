/**
 * An HTTP client of the API for callers, used by the demo, tests and benchmarks.
 */
import { fetch } from 'undici';
import type { Response } from 'undici';

import type { Clock } from '../clock/mod.ts';

/** A response of the API for callers. */
export interface CallerResponse {
  status: number;
  body: Record<string, unknown>;
  /** The error kind; empty for a successful request. */
  kind: string;
}

/** Sends requests with the key of one team. */
export interface CallerClient {
  lookup(
    body: Record<string, unknown>,
    options?: { request?: string; key?: string },
  ): Promise<CallerResponse>;
  submit(job: Record<string, unknown>, options?: { request?: string }): Promise<CallerResponse>;
  job(id: string): Promise<CallerResponse>;
  result(id: string): Promise<CallerResponse>;
  cancel(id: string): Promise<CallerResponse>;
  /** Polls until the job is in one of the states; throws when the timeout has passed. */
  waitForState(
    id: string,
    states: string[],
    options?: { timeoutMs?: number },
  ): Promise<CallerResponse>;
}

const pollIntervalMs = 100;
const defaultTimeoutMs = 20_000;

async function readResponse(response: Response): Promise<CallerResponse> {
  const text = await response.text();
  const body = (text ? JSON.parse(text) : {}) as Record<string, unknown>;
  const { kind = '' } = (body.error ?? {}) as { kind?: string };
  return { status: response.status, body, kind };
}

/**
 * Creates a client. `base` returns the base URL and is called for each request, so that a replaced
 * process can be followed.
 *
 * @example
 * const caller = makeCaller({ base: () => entry.callers, key, clock: systemClock });
 * await caller.lookup({ body: { runMs: 20 } });
 */
export function makeCaller(options: {
  base: () => string;
  key: string;
  clock: Clock;
}): CallerClient {
  const { base, key, clock } = options;
  const send = async (
    path: string,
    requestOptions: { method?: string; body?: unknown; request?: string; key?: string } = {},
  ) => {
    const { method = 'GET', body, request } = requestOptions;
    const headers: Record<string, string> = {
      authorization: `Bearer ${requestOptions.key ?? key}`,
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(request === undefined ? {} : { 'x-request-id': request }),
    };
    const bodyOption = body === undefined ? {} : { body: JSON.stringify(body) };
    return readResponse(await fetch(`${base()}${path}`, { method, headers, ...bodyOption }));
  };
  const job = (id: string) => send(`/v1/jobs/${id}`);
  return {
    lookup: (body, requestOptions = {}) =>
      send('/v1/lookups', { method: 'POST', body, ...requestOptions }),
    submit: (body, requestOptions = {}) =>
      send('/v1/jobs', { method: 'POST', body, ...requestOptions }),
    job,
    result: (id) => send(`/v1/jobs/${id}/result`),
    cancel: (id) => send(`/v1/jobs/${id}`, { method: 'DELETE' }),
    async waitForState(id, states, { timeoutMs = defaultTimeoutMs } = {}) {
      const deadline = clock.now() + timeoutMs;
      for (;;) {
        const response = await job(id);
        if (states.includes(String(response.body.state))) return response;
        if (clock.now() > deadline) {
          throw new Error(
            `job ${id} is not ${states.join(' or ')} after ${timeoutMs} ms: ` +
              `${response.status} ${JSON.stringify(response.body)}`,
          );
        }
        await clock.sleep(pollIntervalMs);
      }
    },
  };
}
