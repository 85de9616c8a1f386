#!/usr/bin/env node
/**
 * `dogwood-standin`: runs a stand-in for one of the platform's services, or workers.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { systemClock } from '../clock/mod.ts';
import { startHosts, startObjects, startTable, startWorker } from '../standins/mod.ts';
import type { Standin } from '../standins/mod.ts';

const clock = systemClock;

/** Prints where the stand-ins listen, as one line of JSON, and stops them on a signal. */
function serve(name: string, standins: Standin[]): void {
  const [first] = standins;
  const ports = standins.map(({ port }) => port);
  process.stdout.write(`${JSON.stringify({ standin: name, address: first?.address, ports })}\n`);
  const stop = () => {
    Promise.all(standins.map(({ close }) => close())).catch((error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exitCode = 1;
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

await yargs(hideBin(process.argv))
  .scriptName('dogwood-standin')
  .options({
    address: { type: 'string', default: '127.0.0.1', describe: 'Address to listen on' },
    port: { type: 'number', default: 0, describe: 'Port; 0 takes a free one' },
  })
  .command('table', 'Runs a table service', {}, async ({ address, port }) => {
    serve('table', [await startTable({ clock, address: String(address), port: Number(port) })]);
  })
  .command('objects', 'Runs an object store', {}, async ({ address, port }) => {
    serve('objects', [await startObjects({ clock, address: String(address), port: Number(port) })]);
  })
  .command('hosts', 'Runs a host list', {}, async ({ address, port }) => {
    serve('hosts', [await startHosts({ clock, address: String(address), port: Number(port) })]);
  })
  .command(
    'worker',
    'Runs workers on consecutive ports',
    {
      id: { type: 'string', default: 'w', describe: 'Id; with several workers, its prefix' },
      ids: { type: 'string', describe: 'Ids separated by commas, in place of id and count' },
      count: { type: 'number', default: 1, describe: 'Number of workers' },
      first: { type: 'number', default: 1, describe: 'Number of the first worker' },
      processors: { type: 'number', default: 16 },
      'memory-mb': { type: 'number', default: 32_768 },
      accelerators: { type: 'number', default: 0 },
      slots: { type: 'number', default: 8 },
    },
    async ({ address, port, id, ids, count, first, ...room }) => {
      const { processors, memoryMb, accelerators, slots } = room;
      const capacity = { processors, memoryMb, accelerators, slots } as Record<string, number>;
      const numbered = Array.from({ length: Number(count) }, (_, i) =>
        count === 1 ? String(id) : `${String(id)}${Number(first) + i}`,
      );
      const names = ids ? String(ids).split(',') : numbered;
      const standins = await Promise.all(
        names.map((name, i) =>
          startWorker({
            clock,
            address: String(address),
            port: port === 0 ? 0 : Number(port) + i,
            id: name,
            capacity: capacity as unknown as Parameters<typeof startWorker>[0]['capacity'],
          }),
        ),
      );
      serve('worker', standins);
    },
  )
  .showHelpOnFail(false)
  .demandCommand(1)
  .strict()
  .parseAsync();
