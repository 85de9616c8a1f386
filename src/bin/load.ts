#!/usr/bin/env node
/**
 * `dogwood-load`: sends an open-loop load and prints the result as JSON.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { systemClock } from '../clock/mod.ts';
import { runLoad } from '../load/mod.ts';

const options = await yargs(hideBin(process.argv))
  .scriptName('dogwood-load')
  .options({
    target: { type: 'string', array: true, demandOption: true, describe: 'ADDRESS:PORT' },
    team: { type: 'string', array: true, demandOption: true, describe: 'TEAM=KEY' },
    rate: { type: 'number', default: 50, describe: 'Requests per second' },
    seconds: { type: 'number', default: 10 },
    seed: { type: 'number', default: 1 },
    lookups: { type: 'number', default: 1, describe: 'Weight of lookups' },
    batches: { type: 'number', default: 0, describe: 'Weight of batch jobs' },
    gangs: { type: 'number', default: 0, describe: 'Weight of gangs' },
    services: { type: 'number', default: 0, describe: 'Weight of services' },
    repeat: { type: 'number', default: 0, describe: 'Fraction of the lookups sent twice, 0 to 1' },
    queue: { type: 'string', describe: 'Queue; the default queue if not given' },
    'run-ms': { type: 'number', default: 20, describe: 'Run time of each task' },
    'gang-tasks': { type: 'number', default: 4 },
    idempotent: { type: 'boolean', default: false },
    'timeout-ms': { type: 'number', default: 5_000, describe: 'Timeout of each request' },
    'settle-ms': { type: 'number', default: 60_000, describe: 'Time for accepted jobs to end' },
  })
  .strict()
  .parseAsync();

const { target, team, rate, seconds, seed, repeat } = options;
const { lookups, batches, gangs, services } = options;
const { queue, runMs, gangTasks, idempotent, timeoutMs, settleMs } = options;

const result = await runLoad({
  ...{ clock: systemClock, seed, ratePerSecond: rate, durationMs: seconds * 1_000 },
  ...{ queue, runMs, gangTasks, idempotent, timeoutMs, settleMs, repeatFraction: repeat },
  mix: { lookup: lookups, batch: batches, gang: gangs, service: services },
  targets: target.map((argument) => {
    const [address = '', port = ''] = argument.split(':');
    return { address, port: Number(port) };
  }),
  teams: team.map((argument) => {
    const separatorIndex = argument.indexOf('=');
    return { team: argument.slice(0, separatorIndex), key: argument.slice(separatorIndex + 1) };
  }),
});
process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
