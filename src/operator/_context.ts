/**
 * What every command of the operator uses.
 */
import type { Either } from 'purify-ts';

import { Right } from 'purify-ts';

import type { SettingsChange } from '../schema/mod.ts';
import type { Tree } from '../settings/mod.ts';
import type { Answer, Client } from './client.ts';
import type { Trouble } from './exit.ts';

/** The parts of a command. */
export interface Context {
  client: Client;
  out: (text: string) => void;
  err: (text: string) => void;
}

/** Files to change, worked out from the tree in force. */
export type Edit = (tree: Tree) => Either<Trouble, Record<string, string | null>>;

/**
 * Writes rows with aligned columns.
 *
 * @example
 * formatTable([['team', 'limit'], ['millers', '100']]);
 */
export function formatTable(rows: string[][]): string {
  const widths = (rows[0] ?? []).map((_, i) => Math.max(...rows.map((row) => row[i]?.length ?? 0)));
  return rows
    .map((row) =>
      row
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/**
 * Makes one edit of the tree in force. An edit of a single key says what it means whatever else
 * changed, so one that lost a race is made once more from the fresh settings.
 *
 * @example
 * await editTree(context, { note: 'withdraw a key', edit });
 */
export async function editTree(
  { client }: Context,
  { note, edit }: { note: string; edit: Edit },
): Answer<SettingsChange> {
  const attempt = async (): Answer<SettingsChange> => {
    const settings = await client.settings();
    const files = settings.chain((tree) => edit(tree.files));
    if (files.isLeft()) return files;
    const { version } = settings.unsafeCoerce();
    return client.propose({ base: version, note, files: files.unsafeCoerce() });
  };
  const first = await attempt();
  const lostRace = first.isLeft() && first.extract().kind === 'settings-conflict';
  return lostRace ? attempt() : first;
}

/**
 * Says that a change was accepted.
 *
 * @example
 * tellChange(context, change);
 */
export function tellChange({ out }: Context, change: SettingsChange): Either<Trouble, void> {
  out(`Settings version ${change.version}: ${change.files.join(', ')}`);
  return Right(undefined);
}
