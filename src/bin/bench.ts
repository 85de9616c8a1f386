#!/usr/bin/env node
/**
 * `npm run bench -- NAME`: runs one experiment, prints its table and writes
 * bench-results/NAME.json.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { experiments, formatTable, runUnits } from '../bench/mod.ts';

const defaultSeeds = 10;
const defaultFirstSeed = 101;

function currentCommit(): string {
  try {
    return execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
  } catch {
    return 'unknown';
  }
}

const args = await yargs(hideBin(process.argv))
  .usage('bench NAME')
  .option('seeds', {
    type: 'number',
    describe: `number of seeds; ${defaultSeeds} for most experiments`,
  })
  .option('first-seed', { type: 'number', default: defaultFirstSeed })
  .option('only', { type: 'string', describe: 'run only this deployment' })
  .option('sizes', { type: 'string', describe: 'comma-separated WORKERSxPROCESSES' })
  .option('out', { type: 'string', default: 'bench-results' })
  .demandCommand(1, `name an experiment: ${Object.keys(experiments).join(', ')}`)
  .strict()
  .parse();

const name = String(args._[0]);
const namedExperiment = experiments[name];
if (!namedExperiment) {
  const known = Object.keys(experiments).join(', ');
  throw new Error(`experiment "${name}" does not exist; expected one of ${known}`);
}

if (args.sizes && !namedExperiment.sized) throw new Error(`experiment "${name}" has no sizes`);
const experiment = args.sizes
  ? { ...namedExperiment, deployments: args.sizes.split(',') }
  : namedExperiment;
const options = {
  seeds: args.seeds ?? namedExperiment.seeds ?? defaultSeeds,
  firstSeed: args.firstSeed,
  only: args.only,
};
const startMs = performance.now();
const series = await runUnits({ name, experiment, ...options });
const failures = experiment.judge(series);
const seconds = (performance.now() - startMs) / 1_000;
const machine = {
  cpu: os.cpus()[0]?.model ?? 'unknown',
  cores: os.cpus().length,
  memoryMb: Math.round(os.totalmem() / 2 ** 20),
  node: process.version,
};
const commit = currentCommit();
process.stdout.write(
  [
    `${name}: ${experiment.title}`,
    `commit ${commit}, seeds ${options.firstSeed} to ${options.firstSeed + options.seeds - 1}, ${seconds.toFixed(1)} s`,
    'mean ±standard deviation over seeds (ratio to the first variant)',
    formatTable(series, experiment.variants[0] ?? ''),
    '',
    `fails when ${experiment.failsWhen}`,
    failures.length === 0 ? 'passed' : `FAILED: ${failures.join('; ')}`,
    '',
  ].join('\n'),
);
mkdirSync(args.out, { recursive: true });
writeFileSync(
  path.join(args.out, `${name}.json`),
  `${JSON.stringify({ name, commit, options, machine, seconds, failures, series }, undefined, 2)}\n`,
);
process.exitCode = failures.length > 0 ? 1 : 0;
