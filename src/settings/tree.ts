/**
 * Validates the files of a settings tree and converts them to typed settings.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type {
  DataCentreSection,
  KeySection,
  PolicySection,
  QueueSection,
  RackSection,
  TeamSection,
  UpstreamSection,
  WorkerSection,
} from '../schema/mod.ts';
import { checkFile } from './_check.ts';
import type { CheckedFile } from './_check.ts';
import { findCrossFileProblems } from './_cross_checks.ts';
import type { Fleet, KeyHash, Queue, Team } from './fleet.ts';
import { formatProblem } from './problem.ts';
import type { Problem } from './problem.ts';

/** Text of each settings file by its path. */
export type SettingsTree = Record<string, string>;

/** Checked files by path; avoids checking unchanged files again. */
export type CheckedFileCache = Map<string, { text: string; file: CheckedFile }>;

/** Name of the queue for requests that specify none. */
export const defaultQueue = 'default';

function checkFiles(tree: SettingsTree, cache: CheckedFileCache): Map<string, CheckedFile> {
  [...cache.keys()].forEach((path) => {
    if (!Object.hasOwn(tree, path)) cache.delete(path);
  });
  return new Map(
    Object.entries(tree).map(([path, text]) => {
      const cached = cache.get(path);
      if (cached?.text === text) return [path, cached.file];
      const file = checkFile(path, text);
      cache.set(path, { text, file });
      return [path, file];
    }),
  );
}

function readKeyHashes(file: CheckedFile | undefined, prefix: string): KeyHash[] {
  return Object.entries(file?.sections ?? {})
    .filter(([name]) => name.startsWith(`${prefix}.`))
    .map(([name, values]) => {
      const { salt, hash } = values as unknown as KeySection;
      return { id: name.slice(prefix.length + 1), salt, hash };
    });
}

function readQueue(name: string, values: QueueSection): Queue {
  return {
    name,
    kinds: values.kinds,
    open: values.open,
    maxWaiting: values.max_waiting,
    dataCentres: values.data_centres,
  };
}

const queueDefaults = checkFile(`teams/any/queues/${defaultQueue}.ini`, '').sections[''];

function readTeam(name: string, files: Map<string, CheckedFile>): Team {
  const getFile = (path: string) => files.get(`teams/${name}/${path}`);
  const { share, limit } = getFile('team.ini')?.sections[''] as unknown as TeamSection;
  const queues = {
    [defaultQueue]: readQueue(defaultQueue, queueDefaults as unknown as QueueSection),
  };
  return { name, share, limit, keys: readKeyHashes(getFile('keys.ini'), 'key'), queues };
}

function readPolicy(values: PolicySection): Fleet['policy'] {
  return {
    urgentDeadlineMs: values.urgent_deadline_ms,
    starvationBoundMs: values.starvation_bound_ms,
    leaseMs: values.lease_ms,
    retryBudgetPerTeamPerMinute: values.retry_budget_per_team_per_minute,
    evacuationTasksPerSecond: values.evacuation_tasks_per_second,
  };
}

function readUpstreams(fleet: Fleet, rack: string, { sections }: CheckedFile): void {
  const { data_centre: dataCentre } = sections.rack as unknown as RackSection;
  Object.entries(sections).forEach(([name, section]) => {
    if (!name.startsWith('upstream.')) return;
    const values = section as unknown as UpstreamSection;
    const id = name.slice('upstream.'.length);
    Object.assign(fleet.upstreams, {
      [id]: {
        id,
        address: values.address,
        port: values.port,
        dataCentre,
        region: fleet.dataCentres[dataCentre]?.region ?? '',
        rack,
        capacity: {
          processors: values.processors,
          memoryMb: values.memory_mb,
          accelerators: values.accelerators,
          slots: values.slots,
        },
        connections: values.connections,
        leaving: values.leaving,
        fencing: fleet.worker?.fencing ?? true,
      },
    });
  });
}

/** Builds the fleet from files without problems. */
function readFleet(files: Map<string, CheckedFile>, version: number): Fleet {
  const fleetFile = files.get('fleet.ini') ?? checkFile('fleet.ini', '');
  const { dialect, fencing } = fleetFile.sections.worker as unknown as WorkerSection;
  const fleet: Fleet = {
    version,
    operators: readKeyHashes(fleetFile, 'operator'),
    policy: readPolicy(fleetFile.sections.policy as unknown as PolicySection),
    worker: { dialect, fencing },
    dataCentres: {},
    upstreams: {},
    teams: {},
  };
  const fileList = [...files.values()];
  fileList.forEach(({ template, pathNames: [name = ''], sections }) => {
    if (template !== 'data-centres/{name}.ini') return;
    const values = sections[''] as unknown as DataCentreSection;
    fleet.dataCentres[name] = { name, region: values.region, inService: values.in_service };
  });
  fileList.forEach((file) => {
    const [name = ''] = file.pathNames;
    if (file.template === 'upstreams/{rack}.ini') readUpstreams(fleet, name, file);
    if (file.template === 'teams/{team}/team.ini') fleet.teams[name] = readTeam(name, files);
  });
  fileList.forEach(({ template, pathNames: [name = '', queue = ''], sections }) => {
    if (template !== 'teams/{team}/queues/{queue}.ini') return;
    const values = sections[''] as unknown as QueueSection;
    Object.assign(fleet.teams[name]?.queues ?? {}, { [queue]: readQueue(queue, values) });
  });
  return fleet;
}

/**
 * Checks all files of a tree and the references between them; returns every problem.
 *
 * @example
 * checkTree({ 'teams/millers/team.ini': 'limt = 5' }).map(formatProblem);
 */
export function checkTree(tree: SettingsTree, cache: CheckedFileCache = new Map()): Problem[] {
  const files = checkFiles(tree, cache);
  const problems = [...files].flatMap(([path, file]) =>
    file.template === 'entry.ini'
      ? [
          {
            file: path,
            message: 'entry.ini is no part of the tree; it lies on the host of its process',
          },
        ]
      : file.problems,
  );
  return [...problems, ...findCrossFileProblems(files)];
}

/**
 * Builds the settings from the files of a tree; the failure lists the problems of all files.
 *
 * @example
 * buildFleet({ 'teams/millers/team.ini': 'limit = 100' }, 1);
 */
export function buildFleet(
  tree: SettingsTree,
  version: number,
  { cache = new Map() }: { cache?: CheckedFileCache } = {},
): Either<Failure, Fleet> {
  const problems = checkTree(tree, cache);
  if (problems.length > 0) {
    return failWith(ErrorKind.SettingsInvalid, problems.map(formatProblem).join('\n'), {
      got: problems,
    });
  }
  return Right(readFleet(checkFiles(tree, cache), version));
}
