/**
 * Describes a deployment and builds the settings files for it.
 */
import { issueKey } from '../keys/mod.ts';
import type { Size } from '../schema/mod.ts';

/** A data centre with the number of its racks and workers. */
export interface SiteDataCentre {
  name: string;
  region: string;
  racks: number;
  workersPerRack: number;
}

/** A team with its share and limit. */
export interface SiteTeam {
  name: string;
  share: number;
  limit: number;
}

/** The data centres, teams and entry processes of a deployment. */
export interface Site {
  dataCentres: SiteDataCentre[];
  /** Capacity of each worker. */
  capacity: Size;
  teams: SiteTeam[];
  /** Number of entry processes. */
  entries: number;
  /** Keys of `[policy]` in `fleet.ini`; absent keys take their defaults. */
  policy?: Record<string, number>;
}

/** A worker with its data centre and rack. */
export interface SiteWorker {
  id: string;
  dataCentre: string;
  rack: string;
}

/** The first settings files of a site, by path, with the operator key and the key of each team. */
export interface SiteSettings {
  files: Record<string, string>;
  operatorKey: string;
  keys: Record<string, string>;
}

/**
 * Lists the workers of a site.
 *
 * @example
 * listWorkers(site).map(({ id }) => id);
 */
export function listWorkers({ dataCentres }: Site): SiteWorker[] {
  return dataCentres.flatMap(({ name, racks, workersPerRack }) =>
    Array.from({ length: racks }, (_, rackIndex) => `${name}-r${rackIndex + 1}`).flatMap((rack) =>
      Array.from({ length: workersPerRack }, (_, workerIndex) => ({
        id: `${rack}-w${workerIndex + 1}`,
        dataCentre: name,
        rack,
      })),
    ),
  );
}

function formatRackFile(
  site: Site,
  workers: SiteWorker[],
  workerPorts: Record<string, number>,
): string {
  const { processors, memoryMb, accelerators, slots } = site.capacity;
  const sections = workers.map(
    ({ id }) =>
      `[upstream.${id}]\naddress = 127.0.0.1\nport = ${workerPorts[id] ?? 0}\nprocessors = ${processors}\n` +
      `memory_mb = ${memoryMb}\naccelerators = ${accelerators}\nslots = ${slots}\n`,
  );
  return `[rack]\ndata_centre = ${workers[0]?.dataCentre ?? ''}\n\n${sections.join('\n')}`;
}

/**
 * Builds the first settings files of a site, with one operator and one key for each team.
 *
 * @example
 * const { files, operatorKey, keys } = await buildSettings(site, ports);
 */
export async function buildSettings(
  site: Site,
  workerPorts: Record<string, number>,
): Promise<SiteSettings> {
  const operatorCredential = await issueKey({ owner: 'operator', id: 'ops' });
  const policyLines = Object.entries(site.policy ?? {}).map(
    ([key, value]) => `${key} = ${value}\n`,
  );
  const policy = policyLines.length > 0 ? `\n[policy]\n${policyLines.join('')}` : '';
  const files: Record<string, string> = {
    'fleet.ini': `[operator.ops]\nsalt = ${operatorCredential.salt}\nhash = ${operatorCredential.hash}\n${policy}`,
  };
  site.dataCentres.forEach(({ name, region }) => {
    files[`data-centres/${name}.ini`] = `region = ${region}\nin_service = yes\n`;
  });
  const workersByRack = new Map<string, SiteWorker[]>();
  listWorkers(site).forEach((worker) =>
    workersByRack.set(worker.rack, [...(workersByRack.get(worker.rack) ?? []), worker]),
  );
  workersByRack.forEach((workers, rack) => {
    files[`upstreams/${rack}.ini`] = formatRackFile(site, workers, workerPorts);
  });
  const keys: Record<string, string> = {};
  for (const { name, share, limit } of site.teams) {
    const { key, salt, hash } = await issueKey({ owner: 'team', team: name, id: 'k1' });
    keys[name] = key;
    files[`teams/${name}/team.ini`] = `share = ${share}\nlimit = ${limit}\n`;
    files[`teams/${name}/keys.ini`] = `[key.k1]\nsalt = ${salt}\nhash = ${hash}\n`;
  }
  return { files, operatorKey: operatorCredential.key, keys };
}
