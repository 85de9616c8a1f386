/**
 * Finds the queue, the organisation and the job of a call.
 */
import type { Configuration, Organisation, Queue } from '../model/mod.ts';

/** Answers which queue and which organisation a call is for. */
export interface RouteTable {
  version: number;
  /** The queue with the longest prefix of the path, and the rest of the path. */
  match(host: string, path: string): { queue: Queue; rest: string } | undefined;
  organisationOf(key: string): Organisation | undefined;
}

/**
 * Makes the route table of a configuration.
 *
 * @example
 * const routes = makeRouteTable(configuration);
 * routes.match('ledger.example', '/plans/5c0e7a21d94b36f8');
 */
export function makeRouteTable(configuration: Configuration): RouteTable {
  const byHost = new Map<string, Queue[]>();
  configuration.queues.forEach((queue) => {
    const queues = byHost.get(queue.host) ?? [];
    queues.push(queue);
    byHost.set(queue.host, queues);
  });
  byHost.forEach((queues) => queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const byKey = new Map<string, Organisation>();
  configuration.organisations.forEach((organisation) => {
    organisation.keys.forEach((key) => byKey.set(key, organisation));
  });
  return {
    version: configuration.version,
    match(host, path) {
      const name = host.toLowerCase().replace(/:\d+$/, '');
      const queue = byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
      return queue && { queue, rest: path.slice(queue.pathPrefix.length) };
    },
    organisationOf: (key) => byKey.get(key),
  };
}
