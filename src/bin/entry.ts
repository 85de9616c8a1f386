#!/usr/bin/env node
/**
 * `dogwood-entry`: one entry process.
 */
import { readFileSync } from 'node:fs';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeEntry } from '../entry/mod.ts';
import { makeLoggers } from '../logs/mod.ts';
import { readEntrySettings } from '../settings/mod.ts';

const exitCodes = { failed: 1, usage: 2 } as const;

function exitWithError(message: string, code: number): never {
  process.stderr.write(`dogwood-entry: ${message}\n`);
  process.exit(code);
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    return exitWithError(`cannot read ${file}: ${(error as Error).message}`, exitCodes.usage);
  }
}

const { settings: settingsFile, fatal } = await yargs(hideBin(process.argv))
  .scriptName('dogwood-entry')
  .usage('$0 --settings FILE\n\nRuns one entry process until SIGTERM or SIGINT.')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'The entry.ini of this process (docs/settings.md)',
  })
  .option('fatal', {
    type: 'boolean',
    default: false,
    describe: 'Exit with code 70 on a violated invariant, for tests',
  })
  .strict()
  .parse();

const violationExitCode = 70;
const settings = readEntrySettings(readText(settingsFile)).caseOf({
  Left: ({ message }) => exitWithError(message, exitCodes.usage),
  Right: (value) => value,
});
const logs = makeLoggers({ level: settings.process.log_level, process: settings.process.name });
const entry = makeEntry({
  settings,
  clock: systemClock,
  random: makeRandom(process.pid + Date.now()),
  logs,
  onViolation: () => fatal && process.exit(violationExitCode),
});

process.on('SIGUSR2', () => process.stdout.write(`${JSON.stringify(entry.dump())}\n`));
['SIGTERM', 'SIGINT'].forEach((signal) =>
  process.on(signal, () => {
    entry.drain().then(
      () => process.exit(0),
      (error: unknown) => exitWithError(String(error), exitCodes.failed),
    );
  }),
);
const startResult = await entry.start();
startResult.ifLeft(({ message }) => exitWithError(message, exitCodes.failed));
