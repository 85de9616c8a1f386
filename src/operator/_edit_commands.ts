/**
 * Commands that list or change single items of the current settings: teams, keys, data centres and
 * upstreams.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { issueKey } from '../keys/mod.ts';
import { buildFleet, formatExpectedNames, formatProblem, checkTree } from '../settings/mod.ts';
import type { Fleet, SettingsTree } from '../settings/mod.ts';
import { editTree, formatTable, reportChange } from './_context.ts';
import type { CommandContext, TreeEdit } from './_context.ts';
import { addSection, removeSection, setKey } from './_edit_text.ts';
import { consumeResult, makeInputFailure } from './exit.ts';
import type { CommandFailure } from './exit.ts';

type AsyncResult = Promise<Either<CommandFailure, void>>;

const teamPath = (team: string) => `teams/${team}/team.ini`;
const keysPath = (team: string) => `teams/${team}/keys.ini`;

function failUnknownName(
  description: string,
  name: string,
  known: string[],
): Either<CommandFailure, never> {
  return Left(
    makeInputFailure(
      `there is no ${description} ${name}; expected ${formatExpectedNames(name, known)}`,
    ),
  );
}

/** Checks the edited files, so that faults are reported without a call to the server. */
function validateFiles(tree: SettingsTree, files: Record<string, string>): ReturnType<TreeEdit> {
  const problems = checkTree({ ...tree, ...files }).filter(({ file }) => file in files);
  return problems.length > 0
    ? Left(makeInputFailure(problems.map(formatProblem).join('\n')))
    : Right(files);
}

async function changeSettings(context: CommandContext, note: string, edit: TreeEdit): AsyncResult {
  const result = await editTree(context, { note, edit });
  return result.chain((accepted) => reportChange(context, accepted));
}

async function withFleet({ client }: CommandContext, consume: (fleet: Fleet) => void): AsyncResult {
  const settings = await client.getSettings();
  const fleet = settings.chain(({ version, files }) =>
    buildFleet(files, version).mapLeft(({ message }) => makeInputFailure(message)),
  );
  return consumeResult(fleet, consume);
}

/** Creates a team. */
export function createTeam(
  context: CommandContext,
  { team, limit, share }: { team: string; limit: number; share: number },
): AsyncResult {
  return changeSettings(context, `create team ${team}`, (tree) => {
    if (tree[teamPath(team)] !== undefined)
      return Left(makeInputFailure(`team ${team} exists already`));
    return validateFiles(tree, { [teamPath(team)]: `share = ${share}\nlimit = ${limit}\n` });
  });
}

/** Changes the share or limit of a team. */
export function updateTeam(
  context: CommandContext,
  { team, values }: { team: string; values: Record<string, number | undefined> },
): AsyncResult {
  const definedEntries = Object.entries(values).filter(([, value]) => value !== undefined);
  if (definedEntries.length === 0)
    return Promise.resolve(Left(makeInputFailure('nothing to set; use --limit or --share')));
  return changeSettings(context, `set team ${team}`, (tree) => {
    const text = tree[teamPath(team)];
    if (text === undefined) return failUnknownName('team', team, findTeamNames(tree));
    const edited = definedEntries.reduce(
      (previousText, [key, value]) =>
        setKey(previousText, { section: '', key, value: String(value) }),
      text,
    );
    return validateFiles(tree, { [teamPath(team)]: edited });
  });
}

function findTeamNames(tree: SettingsTree): string[] {
  return Object.keys(tree).flatMap((path) => /^teams\/([^/]+)\/team\.ini$/.exec(path)?.[1] ?? []);
}

/** Lists the teams. */
export function listTeams(context: CommandContext): AsyncResult {
  return withFleet(context, ({ teams }) => {
    const rows = Object.values(teams).map(({ name, share, limit, keys, queues }) => [
      name,
      String(share),
      String(limit),
      String(keys.length),
      Object.keys(queues).join(', '),
    ]);
    context.out(formatTable([['team', 'share', 'limit', 'keys', 'queues'], ...rows]));
  });
}

/** Issues a key and prints it. Only its hash is stored, so it cannot be shown again. */
export async function issueTeamKey(
  context: CommandContext,
  { team, id }: { team: string; id: string },
): AsyncResult {
  const { key, salt, hash } = await issueKey({ owner: 'team', team, id });
  const result = await changeSettings(context, `issue key ${id} of team ${team}`, (tree) => {
    if (tree[teamPath(team)] === undefined)
      return failUnknownName('team', team, findTeamNames(tree));
    const text = tree[keysPath(team)] ?? '';
    const section = `key.${id}`;
    if (text.includes(`[${section}]`)) {
      return Left(
        makeInputFailure(
          `team ${team} already has a key ${id}; withdraw it first or use another id`,
        ),
      );
    }
    return validateFiles(tree, {
      [keysPath(team)]: addSection(text, { section, values: { salt, hash } }),
    });
  });
  return consumeResult(result, () => context.out(`The key, which is shown only once:\n${key}`));
}

/** Withdraws a key of a team. */
export function withdrawTeamKey(
  context: CommandContext,
  { team, id }: { team: string; id: string },
): AsyncResult {
  return changeSettings(context, `withdraw key ${id} of team ${team}`, (tree) => {
    if (tree[teamPath(team)] === undefined)
      return failUnknownName('team', team, findTeamNames(tree));
    const text = tree[keysPath(team)] ?? '';
    const ids = [...text.matchAll(/^\s*\[key\.([^\]]*)\]/gm)].map(([, name]) => name ?? '');
    if (!ids.includes(id)) return failUnknownName(`key of team ${team} named`, id, ids);
    return validateFiles(tree, { [keysPath(team)]: removeSection(text, `key.${id}`) });
  });
}

/** Lists the ids of the keys of one team, or of all teams. */
export function listTeamKeys(context: CommandContext, team: string | undefined): AsyncResult {
  return withFleet(context, ({ teams }) => {
    const rows = Object.values(teams)
      .filter(({ name }) => team === undefined || name === team)
      .flatMap(({ name, keys }) => keys.map(({ id }) => [name, id]));
    context.out(formatTable([['team', 'key'], ...rows]));
  });
}

/** Takes a data centre out of service or puts it back. */
export function setDataCentreInService(
  context: CommandContext,
  { name, inService }: { name: string; inService: boolean },
): AsyncResult {
  const note = `data centre ${name} ${inService ? 'in service' : 'out of service'}`;
  return changeSettings(context, note, (tree) => {
    const path = `data-centres/${name}.ini`;
    const text = tree[path];
    if (text === undefined) {
      const known = Object.keys(tree).flatMap(
        (p) => /^data-centres\/(.+)\.ini$/.exec(p)?.[1] ?? [],
      );
      return failUnknownName('data centre', name, known);
    }
    const value = inService ? 'yes' : 'no';
    return validateFiles(tree, { [path]: setKey(text, { section: '', key: 'in_service', value }) });
  });
}

/** Lists the data centres. */
export function listDataCentres(context: CommandContext): AsyncResult {
  return withFleet(context, ({ dataCentres, upstreams }) => {
    const rows = Object.values(dataCentres).map(({ name, region, inService }) => {
      const count = Object.values(upstreams).filter((one) => one.dataCentre === name).length;
      return [name, region, inService ? 'in' : 'out', String(count)];
    });
    context.out(formatTable([['data centre', 'region', 'service', 'upstreams'], ...rows]));
  });
}

/** Marks an upstream as leaving, or returns it to service. */
export function setUpstreamLeaving(
  context: CommandContext,
  { id, leaving }: { id: string; leaving: boolean },
): AsyncResult {
  return changeSettings(context, `upstream ${id} ${leaving ? 'leaves' : 'returns'}`, (tree) => {
    const section = `upstream.${id}`;
    const racks = Object.entries(tree).filter(([path]) => path.startsWith('upstreams/'));
    const [path, text] = racks.find(([, rack]) => rack.includes(`[${section}]`)) ?? [];
    if (path === undefined || text === undefined) {
      const known = racks.flatMap(([, rack]) =>
        [...rack.matchAll(/^\s*\[upstream\.([^\]]*)\]/gm)].map(([, name]) => name ?? ''),
      );
      // The ids of all upstreams of a fleet would bury the suggestion.
      return failUnknownName('upstream', id, known.slice(0, 20));
    }
    const value = leaving ? 'yes' : 'no';
    return validateFiles(tree, { [path]: setKey(text, { section, key: 'leaving', value }) });
  });
}

/** Lists the upstreams. */
export function listUpstreams(context: CommandContext): AsyncResult {
  return withFleet(context, ({ upstreams }) => {
    const rows = Object.values(upstreams).map(
      ({ id, rack, dataCentre, address, port, leaving }) => [
        id,
        rack,
        dataCentre,
        `${address}:${port}`,
        leaving ? 'leaving' : 'stays',
      ],
    );
    context.out(formatTable([['upstream', 'rack', 'data centre', 'address', 'state'], ...rows]));
  });
}
