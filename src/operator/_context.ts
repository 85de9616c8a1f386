/**
 * The context of operator commands, and helpers that they share.
 */
import type { Either } from 'purify-ts';

import { Right } from 'purify-ts';

import type { SettingsChange } from '../schema/mod.ts';
import type { SettingsTree } from '../settings/mod.ts';
import type { ServerResult, OperatorClient } from './client.ts';
import type { CommandFailure } from './exit.ts';

/** The client and the output streams of a command. */
export interface CommandContext {
  client: OperatorClient;
  out: (text: string) => void;
  err: (text: string) => void;
}

/** Computes the files to change from the current settings tree; null deletes a file. */
export type TreeEdit = (
  tree: SettingsTree,
) => Either<CommandFailure, Record<string, string | null>>;

/**
 * Formats rows as a table with aligned columns.
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
 * Applies an edit to the current settings. The edit of a single key is valid whatever else changed,
 * so after a conflict with another change it is retried once on the fresh settings.
 *
 * @example
 * await editTree(context, { note: 'withdraw a key', edit });
 */
export async function editTree(
  { client }: CommandContext,
  { note, edit }: { note: string; edit: TreeEdit },
): ServerResult<SettingsChange> {
  const proposeEdit = async (): ServerResult<SettingsChange> => {
    const settings = await client.getSettings();
    const files = settings.chain((tree) => edit(tree.files));
    if (files.isLeft()) return files;
    const { version } = settings.unsafeCoerce();
    return client.proposeSettings({ base: version, note, files: files.unsafeCoerce() });
  };
  const firstResult = await proposeEdit();
  const hasConflict = firstResult.isLeft() && firstResult.extract().kind === 'settings-conflict';
  return hasConflict ? proposeEdit() : firstResult;
}

/**
 * Prints an accepted change.
 *
 * @example
 * reportChange(context, change);
 */
export function reportChange(
  { out }: CommandContext,
  change: SettingsChange,
): Either<CommandFailure, void> {
  out(`Settings version ${change.version}: ${change.files.join(', ')}`);
  return Right(undefined);
}
