/**
 * A callers' interface over a dispatcher of a test, and a client that asks it.
 */
import http from 'node:http';

import { Right } from 'purify-ts';

import { systemClock } from '../clock/mod.ts';
import type { Caller, Dispatch } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import { issueKey, makeKeyVerifier } from '../keys/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { silentMetrics } from '../metrics/mod.ts';
import type { Job, LookupRequest } from '../schema/mod.ts';
import { buildFleet } from '../settings/mod.ts';
import { makeCallers } from '../callers/mod.ts';
import type { CallersOptions } from '../callers/mod.ts';

export const own = await issueKey({ owner: 'team', team: 'millers', id: 'k1' });
export const other = await issueKey({ owner: 'team', team: 'bakers', id: 'k1' });
export const operator = await issueKey({ owner: 'operator', id: 'ana' });
export const tree = {
  'fleet.ini': `[operator.ana]\nsalt = ${operator.salt}\nhash = ${operator.hash}\n`,
  'teams/millers/team.ini': 'limit = 10\n',
  'teams/millers/keys.ini': `[key.k1]\nsalt = ${own.salt}\nhash = ${own.hash}\n`,
  'teams/millers/queues/public.ini': 'open = yes\nkinds = lookup\n',
  'teams/bakers/team.ini': 'limit = 10\n',
  'teams/bakers/keys.ini': `[key.k1]\nsalt = ${other.salt}\nhash = ${other.hash}\n`,
};

export interface Answer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: { error: { kind: string; ran: string; message: string } } & Record<string, unknown>;
}

export function ask(
  port: number,
  options: http.RequestOptions & { body?: unknown; key?: string } = {},
): Promise<Answer> {
  const { body, key, headers, ...rest } = options;
  return new Promise((resolve, reject) => {
    const request = http.request({
      port,
      host: '127.0.0.1',
      method: 'POST',
      path: '/v1/lookups',
      agent: false,
      ...rest,
      headers: { ...(key ? { authorization: `Bearer ${key}` } : {}), ...headers },
    });
    request.on('error', reject);
    request.on('response', (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      response.on('end', () => {
        const parsed = JSON.parse(text) as Answer['body'];
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: parsed });
      });
    });
    const text = typeof body === 'string' ? body : JSON.stringify(body ?? {});
    request.end(rest.method && rest.method !== 'POST' ? undefined : text);
  });
}

export async function start(
  overrides: Partial<CallersOptions> & { lookup?: Dispatch['lookup'] } = {},
) {
  const calls: { caller: Caller; request: LookupRequest }[] = [];
  const state = { fleet: buildFleet(tree, 1).unsafeCoerce() };
  const { lookup, ...options } = overrides;
  const job = { id: 'j1', team: 'millers', queue: 'gone', body: 'large' } as unknown as Job;
  const dispatch = {
    async lookup(caller, request) {
      calls.push({ caller, request });
      if (lookup) return lookup(caller, request);
      return Right({ id: 'l1', worker: 'w1', waitMs: 1, runMs: 2, body: request.body });
    },
    job: (team, id) =>
      Promise.resolve(
        id === 'j1' && team === 'millers' ? Right(job) : failWith(ErrorKind.NotFound, 'no'),
      ),
    result: () => Promise.resolve(Right(undefined)),
  } as Partial<Dispatch> as Dispatch;
  const callers = makeCallers({
    address: '127.0.0.1',
    port: 0,
    bounds: {
      maxBodyBytes: 2_000,
      maxHeaderBytes: 2_048,
      maxConnections: 20,
      maxWaitingRequests: 5,
    },
    dispatch,
    checkReady: () => Right(undefined),
    fleet: () => state.fleet,
    verifier: makeKeyVerifier({ fleet: () => state.fleet }),
    clock: systemClock,
    invariants: makeInvariantChecker({ onViolation: throwOnViolation }),
    metrics: silentMetrics,
    log: silentLogger,
    ...options,
  });
  const listened = await callers.listen();
  const port = listened.map((bound) => bound.port).orDefault(0);
  return { port, callers, calls, state, listened };
}
