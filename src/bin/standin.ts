#!/usr/bin/env node
/**
 * `dogwood-standin`: runs a stand-in for one of the platform's services, or for workers.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { systemClock } from '../clock/mod.ts';
import { startHosts, startObjects, startTable, startWorker } from '../standins/mod.ts';
import type { Standin } from '../standins/mod.ts';

const clock = systemClock;

/** Prints the address and ports as one line of JSON; stops the stand-ins on SIGTERM or SIGINT. */
function serve(serviceName: string, standins: Standin[]): void {
  const [first] = standins;
  const ports = standins.map(({ port }) => port);
  process.stdout.write(
    `${JSON.stringify({ standin: serviceName, address: first?.address, ports })}\n`,
  );
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
    port: { type: 'number', default: 0, describe: 'Port; 0 selects a free port' },
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
      id: { type: 'string', default: 'w', describe: 'Id, or the id prefix of several workers' },
      ids: { type: 'string', describe: 'Comma-separated ids, instead of id and count' },
      count: { type: 'number', default: 1, describe: 'Number of workers' },
      first: { type: 'number', default: 1, describe: 'Number of the first worker' },
      processors: { type: 'number', default: 16 },
      'memory-mb': { type: 'number', default: 32_768 },
      accelerators: { type: 'number', default: 0 },
      slots: { type: 'number', default: 8 },
    },
    async ({ address, port, id, ids, count, first, ...resources }) => {
      const { processors, memoryMb, accelerators, slots } = resources;
      const capacity = { processors, memoryMb, accelerators, slots } as Record<string, number>;
      const numberedIds = Array.from({ length: Number(count) }, (_, i) =>
        count === 1 ? String(id) : `${String(id)}${Number(first) + i}`,
      );
      const workerIds = ids ? String(ids).split(',') : numberedIds;
      const standins = await Promise.all(
        workerIds.map((workerId, i) =>
          startWorker({
            clock,
            address: String(address),
            port: port === 0 ? 0 : Number(port) + i,
            id: workerId,
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
