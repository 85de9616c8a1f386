/**
 * Starts an entry process on the users' platform.
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
const defectExitCode = 70;
/** Longest time that a process with a defect takes to give up the scheduler's role. */
const maxResignationMs = 1_000;
const maxLogBufferBytes = 4_000_000;
const metricsPath = '/metrics';
const maxMetricsBodyBytes = 1_024;

function exitWith(problems: string[]): never {
  process.stderr.write(`${problems.map((problem) => `dogwoodhollow: ${problem}`).join('\n')}\n`);
  process.exit(configurationExitCode);
}

function readSettings(): string {
  const file = process.env[settingsFileVariable] ?? '';
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    return exitWith([`${settingsFileVariable}: cannot read ${file}: ${(error as Error).message}`]);
  }
}

const settings = decodeSettings(readSettings()).caseOf({
  Left: exitWith,
  Right: (value) => value,
});
const metrics = makeHostMetrics(systemClock);
const makeLogger = makeLoggers({
  process: settings.name,
  fd: 1,
  maxBufferBytes: maxLogBufferBytes,
});
const makeCountedLogger = (component: Component) => metrics.countEvents(makeLogger(component));
const host = makeHost({
  settings,
  clock: systemClock,
  random: makeRandom(process.pid + Date.now()),
  logs: {
    host: makeCountedLogger(Component.Host),
    front: makeCountedLogger(Component.Front),
    cell: makeCountedLogger(Component.Cell),
  },
  store: metrics.timeStore(makeStore(settings.storeAddress, systemClock)),
  timeRequests: metrics.timeRequests,
  workers: makeWorkerClient(systemClock),
  adviser:
    settings.adviceAddress === undefined
      ? undefined
      : makeAdviser(settings.adviceAddress, systemClock),
});

process.on('SIGHUP', () =>
  makeCountedLogger(Component.Host).info('settings file changed', { event: 'reload' }),
);
process.on('unhandledRejection', logFailure(makeCountedLogger(Component.Host), 'a promise'));
process.on('uncaughtException', (error) => {
  // The state may be inconsistent, so the role is given up before the process ends.
  logFailure(makeCountedLogger(Component.Host), 'the process')(error);
  const exit = () => process.exit(defectExitCode);
  setTimeout(exit, maxResignationMs);
  host.resign().then(exit, exit);
});
process.on('SIGTERM', () => {
  host.stop().then(
    () => process.exit(0),
    (error: unknown) => exitWith([String(error)]),
  );
});

/** Serves the metrics on a port. */
async function serveMetrics(port: string): Promise<void> {
  await listen({
    address: `${settings.ip}:${port}`,
    maxBodyBytes: () => maxMetricsBodyBytes,
    async handle({ path }) {
      if (path !== metricsPath) return { status: 404, body: '' };
      return { status: 200, body: await metrics.text(), headers: { 'content-type': 'text/plain' } };
    },
    onError: logFailure(makeCountedLogger(Component.Host), 'the metrics server'),
  });
}

const { 'metrics-port': metricsPort } = parseArgs({
  options: { 'metrics-port': { type: 'string' } },
}).values;
const startup = [host.start(), ...(metricsPort === undefined ? [] : [serveMetrics(metricsPort)])];
Promise.all(startup).catch((error: unknown) => exitWith([String((error as Error).stack)]));
