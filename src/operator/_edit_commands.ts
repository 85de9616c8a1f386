/**
 * Commands that change one thing in the settings in force, and lists of those things.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { issueKey } from '../keys/mod.ts';
import { buildFleet, expectOneOf, formatProblem, checkTree } from '../settings/mod.ts';
import type { Fleet, Tree } from '../settings/mod.ts';
import { editTree, formatTable, tellChange } from './_context.ts';
import type { Context, Edit } from './_context.ts';
import { addSection, removeSection, setKey } from './_edit_text.ts';
import { useAnswer, wrong } from './exit.ts';
import type { Trouble } from './exit.ts';

type Ended = Promise<Either<Trouble, void>>;

const teamFile = (team: string) => `teams/${team}/team.ini`;
const keysFile = (team: string) => `teams/${team}/keys.ini`;

function unknown(what: string, name: string, known: string[]): Either<Trouble, never> {
  return Left(wrong(`there is no ${what} ${name}; expected ${expectOneOf(name, known)}`));
}

/** Faults of the edited files, told before the server is asked. */
function checked(tree: Tree, files: Record<string, string>): ReturnType<Edit> {
  const problems = checkTree({ ...tree, ...files }).filter(({ file }) => file in files);
  return problems.length > 0 ? Left(wrong(problems.map(formatProblem).join('\n'))) : Right(files);
}

async function change(context: Context, note: string, edit: Edit): Ended {
  const done = await editTree(context, { note, edit });
  return done.chain((accepted) => tellChange(context, accepted));
}

async function withFleet({ client }: Context, use: (fleet: Fleet) => void): Ended {
  const settings = await client.settings();
  const fleet = settings.chain(({ version, files }) =>
    buildFleet(files, version).mapLeft(({ message }) => wrong(message)),
  );
  return useAnswer(fleet, use);
}

/** Creates a team. */
export function createTeam(
  context: Context,
  { team, limit, share }: { team: string; limit: number; share: number },
): Ended {
  return change(context, `create team ${team}`, (tree) => {
    if (tree[teamFile(team)] !== undefined) return Left(wrong(`team ${team} exists already`));
    return checked(tree, { [teamFile(team)]: `share = ${share}\nlimit = ${limit}\n` });
  });
}

/** Changes the share or limit of a team. */
export function setTeam(
  context: Context,
  { team, values }: { team: string; values: Record<string, number | undefined> },
): Ended {
  const given = Object.entries(values).filter(([, value]) => value !== undefined);
  if (given.length === 0) return Promise.resolve(Left(wrong('nothing to set: --limit or --share')));
  return change(context, `set team ${team}`, (tree) => {
    const text = tree[teamFile(team)];
    if (text === undefined) return unknown('team', team, listTeams(tree));
    const edited = given.reduce(
      (before, [key, value]) => setKey(before, { section: '', key, value: String(value) }),
      text,
    );
    return checked(tree, { [teamFile(team)]: edited });
  });
}

function listTeams(tree: Tree): string[] {
  return Object.keys(tree).flatMap((path) => /^teams\/([^/]+)\/team\.ini$/.exec(path)?.[1] ?? []);
}

/** Lists the teams. */
export function teamList(context: Context): Ended {
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

/** Issues a key and prints it; it cannot be shown again. */
export async function keyIssue(
  context: Context,
  { team, id }: { team: string; id: string },
): Ended {
  const { key, salt, hash } = await issueKey({ owner: 'team', team, id });
  const done = await change(context, `issue key ${id} of team ${team}`, (tree) => {
    if (tree[teamFile(team)] === undefined) return unknown('team', team, listTeams(tree));
    const text = tree[keysFile(team)] ?? '';
    const section = `key.${id}`;
    if (text.includes(`[${section}]`)) {
      return Left(
        wrong(`team ${team} has a key ${id} already; withdraw it first or use another id`),
      );
    }
    return checked(tree, {
      [keysFile(team)]: addSection(text, { section, values: { salt, hash } }),
    });
  });
  return useAnswer(done, () => context.out(`The key, shown only now:\n${key}`));
}

/** Withdraws a key. */
export function keyWithdraw(context: Context, { team, id }: { team: string; id: string }): Ended {
  return change(context, `withdraw key ${id} of team ${team}`, (tree) => {
    if (tree[teamFile(team)] === undefined) return unknown('team', team, listTeams(tree));
    const text = tree[keysFile(team)] ?? '';
    const ids = [...text.matchAll(/^\s*\[key\.([^\]]*)\]/gm)].map(([, name]) => name ?? '');
    if (!ids.includes(id)) return unknown(`key of team ${team} named`, id, ids);
    return checked(tree, { [keysFile(team)]: removeSection(text, `key.${id}`) });
  });
}

/** Lists key ids. */
export function keyList(context: Context, team: string | undefined): Ended {
  return withFleet(context, ({ teams }) => {
    const rows = Object.values(teams)
      .filter(({ name }) => team === undefined || name === team)
      .flatMap(({ name, keys }) => keys.map(({ id }) => [name, id]));
    context.out(formatTable([['team', 'key'], ...rows]));
  });
}

/** Takes a data centre out of service or puts it back. */
export function setDataCentre(
  context: Context,
  { name, inService }: { name: string; inService: boolean },
): Ended {
  const note = `data centre ${name} ${inService ? 'in service' : 'out of service'}`;
  return change(context, note, (tree) => {
    const path = `data-centres/${name}.ini`;
    const text = tree[path];
    if (text === undefined) {
      const known = Object.keys(tree).flatMap(
        (p) => /^data-centres\/(.+)\.ini$/.exec(p)?.[1] ?? [],
      );
      return unknown('data centre', name, known);
    }
    const value = inService ? 'yes' : 'no';
    return checked(tree, { [path]: setKey(text, { section: '', key: 'in_service', value }) });
  });
}

/** Lists the data centres. */
export function dataCentreList(context: Context): Ended {
  return withFleet(context, ({ dataCentres, upstreams }) => {
    const rows = Object.values(dataCentres).map(({ name, region, inService }) => {
      const count = Object.values(upstreams).filter((one) => one.dataCentre === name).length;
      return [name, region, inService ? 'in' : 'out', String(count)];
    });
    context.out(formatTable([['data centre', 'region', 'service', 'upstreams'], ...rows]));
  });
}

/** Lets an upstream leave, or return. */
export function setUpstream(
  context: Context,
  { id, leaving }: { id: string; leaving: boolean },
): Ended {
  return change(context, `upstream ${id} ${leaving ? 'leaves' : 'returns'}`, (tree) => {
    const section = `upstream.${id}`;
    const racks = Object.entries(tree).filter(([path]) => path.startsWith('upstreams/'));
    const [path, text] = racks.find(([, rack]) => rack.includes(`[${section}]`)) ?? [];
    if (path === undefined || text === undefined) {
      const known = racks.flatMap(([, rack]) =>
        [...rack.matchAll(/^\s*\[upstream\.([^\]]*)\]/gm)].map(([, name]) => name ?? ''),
      );
      // All ids of a fleet would hide the suggestion.
      return unknown('upstream', id, known.slice(0, 20));
    }
    const value = leaving ? 'yes' : 'no';
    return checked(tree, { [path]: setKey(text, { section, key: 'leaving', value }) });
  });
}

/** Lists the upstreams. */
export function upstreamList(context: Context): Ended {
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
