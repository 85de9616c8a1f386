/**
 * Entry processes and a client against the stand-ins of the platform, for tests.
 */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { request } from 'undici';

import { startClusterStandin } from '../../platform/standin/mod.ts';
import type { RecordedStart, ClusterStandin } from '../../platform/standin/mod.ts';
import { makeAdviser, makeStore, makeWorkerClient } from '../../platform/mod.ts';
import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeHost } from '../host/mod.ts';
import type { Host } from '../host/mod.ts';
import { silentLogger } from '../logs/mod.ts';

/** What a client was answered. */
export interface TestAnswer {
  status: number;
  body: { state?: string; pending?: number };
  retryAfter: string | string[] | undefined;
}

/** A running site with entry processes. */
export interface TestSite {
  standin: ClusterStandin;
  hosts: Host[];
  /** Sends a call to one of the entry processes. */
  call(
    method: string,
    path: string,
    options?: { body?: unknown; key?: string; host?: number },
  ): Promise<TestAnswer>;
  /** Asks for a job's state until it is the one wanted. */
  waitForState(path: string, state: string): Promise<TestAnswer>;
  /** Asks for a queue's count until there is one. */
  waitForCount(path: string): Promise<number>;
  /** Starts of all workers. */
  starts(): RecordedStart[];
  close(): Promise<void>;
}

const pollMs = 10;
const startPollMs = 20;
const patienceMs = 20_000;

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

async function until<T>(what: string, check: () => Promise<T | undefined>): Promise<T> {
  const deadlineMs = performance.now() + patienceMs;
  while (performance.now() < deadlineMs) {
    const result = await check();
    if (result !== undefined) return result;
    await systemClock.sleep(pollMs);
  }
  throw new Error(`waited ${patienceMs} ms in vain: ${what}`);
}

/**
 * Starts a site with entry processes and waits until they are ready.
 *
 * @example
 * const site = await startTestSite({ hosts: 2, workers: 4 });
 */
export async function startTestSite(options: {
  hosts: number;
  workers: number;
  cpu?: number;
}): Promise<TestSite> {
  const standin = await startClusterStandin(options);
  standin.writeConfiguration(1);
  standin.registerWorkers();
  const hosts: Host[] = [];
  const addresses: { callers: string; readiness: string }[] = [];
  for (let index = 0; index < options.hosts; index++) {
    const [callers, readiness, peers] = [await freePort(), await freePort(), await freePort()];
    const settings = standin.makeSettings(`entry-${index + 1}`, { callers, readiness, peers });
    const host = makeHost({
      settings,
      clock: systemClock,
      random: makeRandom(index + 1),
      timeCalls: (handle) => handle,
      logs: { host: silentLogger, front: silentLogger, cell: silentLogger },
      store: makeStore(settings.storeAddress, systemClock),
      workers: makeWorkerClient(systemClock),
      adviser: makeAdviser(settings.adviceAddress!, systemClock),
    });
    await host.start();
    hosts.push(host);
    addresses.push(settings.listen);
  }

  async function call(
    method: string,
    path: string,
    { body, key = 'key-1', host = 0 }: { body?: unknown; key?: string; host?: number } = {},
  ): Promise<TestAnswer> {
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
      body: text === '' ? {} : (JSON.parse(text) as TestAnswer['body']),
      retryAfter: response.headers['retry-after'],
    };
  }

  for (const { readiness } of addresses) {
    await until('the entry process to be ready', async () => {
      const response = await request(`http://${readiness}/v1/readyz`);
      await response.body.dump();
      await systemClock.sleep(startPollMs);
      return response.statusCode === 200 ? true : undefined;
    });
  }

  return {
    standin,
    hosts,
    call,
    waitForState: (path, state) =>
      until(`${path} to be ${state}`, async () => {
        const answer = await call('GET', path);
        return answer.body.state === state ? answer : undefined;
      }),
    waitForCount: (path) =>
      until(`a count of ${path}`, async () => (await call('GET', path)).body.pending),
    starts: () => standin.workers.flatMap((worker) => worker.starts),
    async close() {
      await Promise.all(hosts.map((host) => host.kill()));
      await standin.close();
    },
  };
}
