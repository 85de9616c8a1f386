/**
 * A cluster for tests: entry processes against stand-ins of the platform, and a client.
 */
import { request } from 'undici';

import { startClusterStandin } from '../../platform/standin/mod.ts';
import type { RecordedStart, ClusterStandin } from '../../platform/standin/mod.ts';
import { makeAdviser, makeStore, makeWorkerClient } from '../../platform/mod.ts';
import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeHost } from '../host/mod.ts';
import type { Host } from '../host/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { WorkerClient } from '../model/mod.ts';
import { findFreePort } from './free_port.ts';

/** A response to the client. */
export interface TestResponse {
  status: number;
  body: { state?: string; pending?: number };
  retryAfter: string | string[] | undefined;
}

/** A running cluster. */
export interface TestCluster {
  standin: ClusterStandin;
  hosts: Host[];
  /** Sends a request to one of the entry processes. */
  send(
    method: string,
    path: string,
    options?: { body?: unknown; key?: string; host?: number },
  ): Promise<TestResponse>;
  /** Polls a job until it is in the given state. */
  waitForState(path: string, state: string): Promise<TestResponse>;
  /** Polls a queue's pending count until it is known. */
  waitForPendingCount(path: string): Promise<number>;
  /** The starts that all workers have recorded. */
  starts(): RecordedStart[];
  /** The number of start orders that each entry process has sent with its own connections. */
  sentStarts(): number[];
  close(): Promise<void>;
}

const pollIntervalMs = 10;
const readinessPollIntervalMs = 20;
const waitTimeoutMs = 20_000;

async function waitFor<T>(condition: string, check: () => Promise<T | undefined>): Promise<T> {
  const deadlineMs = performance.now() + waitTimeoutMs;
  while (performance.now() < deadlineMs) {
    const result = await check();
    if (result !== undefined) return result;
    await systemClock.sleep(pollIntervalMs);
  }
  throw new Error(`timed out after ${waitTimeoutMs} ms waiting for ${condition}`);
}

/**
 * Starts a cluster and waits until its entry processes are ready.
 *
 * @example
 * const cluster = await startTestCluster({ hosts: 2, workers: 4 });
 */
export async function startTestCluster(options: {
  hosts: number;
  workers: number;
  cpu?: number;
}): Promise<TestCluster> {
  const standin = await startClusterStandin(options);
  standin.writeConfiguration(1);
  standin.registerWorkers();
  const hosts: Host[] = [];
  const sentStarts: number[] = [];
  function makeCountedClient(index: number): WorkerClient {
    const client = makeWorkerClient(systemClock);
    sentStarts[index] = 0;
    return {
      ...client,
      start(...order) {
        sentStarts[index]! += 1;
        return client.start(...order);
      },
    };
  }
  const addresses: { callers: string; readiness: string }[] = [];
  for (let index = 0; index < options.hosts; index++) {
    const [callers, readiness, peers] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const settings = standin.makeSettings(`entry-${index + 1}`, { callers, readiness, peers });
    const host = makeHost({
      settings,
      clock: systemClock,
      random: makeRandom(index + 1),
      timeRequests: (handle) => handle,
      logs: { host: silentLogger, front: silentLogger, cell: silentLogger },
      store: makeStore(settings.storeAddress, systemClock),
      workers: makeCountedClient(index),
      adviser: makeAdviser(settings.adviceAddress!, systemClock),
    });
    await host.start();
    hosts.push(host);
    addresses.push(settings.listen);
  }

  async function send(
    method: string,
    path: string,
    { body, key = 'key-1', host = 0 }: { body?: unknown; key?: string; host?: number } = {},
  ): Promise<TestResponse> {
    const response = await request(`http://${addresses[host]!.callers}${path}`, {
      method: method as 'GET',
      headers: { authorization: `Bearer ${key}`, host: 'site.example' },
      ...(body === undefined
        ? {}
        : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: text === '' ? {} : (JSON.parse(text) as TestResponse['body']),
      retryAfter: response.headers['retry-after'],
    };
  }

  for (const { readiness } of addresses) {
    await waitFor('the entry process to be ready', async () => {
      const response = await request(`http://${readiness}/v1/readyz`);
      await response.body.dump();
      await systemClock.sleep(readinessPollIntervalMs);
      return response.statusCode === 200 ? true : undefined;
    });
  }

  return {
    standin,
    hosts,
    send,
    waitForState: (path, state) =>
      waitFor(`${path} to be ${state}`, async () => {
        const response = await send('GET', path);
        return response.body.state === state ? response : undefined;
      }),
    waitForPendingCount: (path) =>
      waitFor(`a pending count of ${path}`, async () => (await send('GET', path)).body.pending),
    sentStarts: () => [...sentStarts],
    starts: () => standin.workers.flatMap((worker) => worker.starts),
    async close() {
      await Promise.all(hosts.map((host) => host.kill()));
      await standin.close();
    },
  };
}
