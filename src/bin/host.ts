/**
 * The entry process on the users' platform.
 */
import { readFileSync } from 'node:fs';

import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeHost } from '../host/mod.ts';
import { makeLogs, Part } from '../logs/mod.ts';
import {
  decodeSettings,
  makeAdviser,
  makeStore,
  makeWorkers,
  settingsVariable,
} from '../../platform/mod.ts';

const configurationExitCode = 78;
const maxLogBufferBytes = 4_000_000;

function fail(problems: string[]): never {
  process.stderr.write(`${problems.map((problem) => `dogwoodhollow: ${problem}`).join('\n')}\n`);
  process.exit(configurationExitCode);
}

function readSettings(): string {
  const file = process.env[settingsVariable] ?? '';
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    return fail([`${settingsVariable}: cannot read ${file}: ${(error as Error).message}`]);
  }
}

const settings = decodeSettings(readSettings()).caseOf({ Left: fail, Right: (value) => value });
const logs = makeLogs({ process: settings.name, fd: 1, maxBufferBytes: maxLogBufferBytes });
const host = makeHost({
  settings,
  clock: systemClock,
  random: makeRandom(process.pid + Date.now()),
  logs: { host: logs(Part.Host), front: logs(Part.Front), cell: logs(Part.Cell) },
  store: makeStore(settings.storeAddress, systemClock),
  workers: makeWorkers(systemClock),
  adviser:
    settings.adviceAddress === undefined
      ? undefined
      : makeAdviser(settings.adviceAddress, systemClock),
});

process.on('SIGHUP', () => logs(Part.Host).info('settings file changed', { event: 'reload' }));
process.on('SIGTERM', () => {
  host.stop().then(
    () => process.exit(0),
    (error: unknown) => fail([String(error)]),
  );
});
host.start().catch((error: unknown) => fail([String((error as Error).stack)]));
