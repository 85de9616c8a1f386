/**
 * The entry process on the users' platform.
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';

import { makeRandom, systemClock } from '../clock/mod.ts';
import { listen } from '../front/mod.ts';
import { makeHost, makeHostMetrics } from '../host/mod.ts';
import { logFailure, makeLoggers, Component } from '../logs/mod.ts';
import {
  decodeSettings,
  makeAdviser,
  makeStore,
  makeWorkerClient,
  settingsFileVariable,
} from '../../platform/mod.ts';

const configurationExitCode = 78;
const maxLogBufferBytes = 4_000_000;
const metricsPath = '/metrics';
const maxMetricsBodyBytes = 1_024;

function fail(problems: string[]): never {
  process.stderr.write(`${problems.map((problem) => `dogwoodhollow: ${problem}`).join('\n')}\n`);
  process.exit(configurationExitCode);
}

function readSettings(): string {
  const file = process.env[settingsFileVariable] ?? '';
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    return fail([`${settingsFileVariable}: cannot read ${file}: ${(error as Error).message}`]);
  }
}

const settings = decodeSettings(readSettings()).caseOf({ Left: fail, Right: (value) => value });
const metrics = makeHostMetrics(systemClock);
const bareLogs = makeLoggers({ process: settings.name, fd: 1, maxBufferBytes: maxLogBufferBytes });
const logs = (part: Component) => metrics.countLines(bareLogs(part));
const host = makeHost({
  settings,
  clock: systemClock,
  random: makeRandom(process.pid + Date.now()),
  logs: { host: logs(Component.Host), front: logs(Component.Front), cell: logs(Component.Cell) },
  store: metrics.timeStore(makeStore(settings.storeAddress, systemClock)),
  timeCalls: metrics.timeCalls,
  workers: makeWorkerClient(systemClock),
  adviser:
    settings.adviceAddress === undefined
      ? undefined
      : makeAdviser(settings.adviceAddress, systemClock),
});

process.on('SIGHUP', () => logs(Component.Host).info('settings file changed', { event: 'reload' }));
process.on('SIGTERM', () => {
  host.stop().then(
    () => process.exit(0),
    (error: unknown) => fail([String(error)]),
  );
});

/** Serves the metrics, if their port was given. */
async function serveMetrics(port: string): Promise<void> {
  await listen({
    address: `${settings.ip}:${port}`,
    maxBodyBytes: () => maxMetricsBodyBytes,
    async handle({ path }) {
      if (path !== metricsPath) return { status: 404, body: '' };
      return { status: 200, body: await metrics.text(), headers: { 'content-type': 'text/plain' } };
    },
    onError: logFailure(logs(Component.Host), 'the metrics'),
  });
}

const { 'metrics-port': metricsPort } = parseArgs({
  options: { 'metrics-port': { type: 'string' } },
}).values;
const starting = [host.start(), ...(metricsPort === undefined ? [] : [serveMetrics(metricsPort)])];
Promise.all(starting).catch((error: unknown) => fail([String((error as Error).stack)]));
