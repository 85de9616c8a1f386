/**
 * Maps the host and path of a request to a queue, and an API key to an organisation.
 */
import type { Configuration, Organisation, Queue } from '../model/mod.ts';

/** The routes and keys of one version of the configuration. */
export interface RouteTable {
  version: number;
  /** Finds the queue with the longest prefix of the path, and the rest of the path. */
  matchPath(host: string, path: string): { queue: Queue; rest: string } | undefined;
  findOrganisation(key: string): Organisation | undefined;
}

/**
 * Makes the route table of a configuration.
 *
 * @example
 * const routeTable = makeRouteTable(configuration);
 * routeTable.matchPath('ledger.example', '/plans/5c0e7a21d94b36f8');
 */
export function makeRouteTable(configuration: Configuration): RouteTable {
  const queuesByHost = new Map<string, Queue[]>();
  configuration.queues.forEach((queue) => {
    const queues = queuesByHost.get(queue.host) ?? [];
    queues.push(queue);
    queuesByHost.set(queue.host, queues);
  });
  queuesByHost.forEach((queues) =>
    queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  const organisationByKey = new Map<string, Organisation>();
  configuration.organisations.forEach((organisation) => {
    organisation.keys.forEach((key) => organisationByKey.set(key, organisation));
  });
  return {
    version: configuration.version,
    matchPath(host, path) {
      const name = host.toLowerCase().replace(/:\d+$/, '');
      const queue = queuesByHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
      return queue && { queue, rest: path.slice(queue.pathPrefix.length) };
    },
    findOrganisation: (key) => organisationByKey.get(key),
  };
}
