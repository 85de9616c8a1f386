/**
 * Commands on whole settings trees.
 */
import { existsSync, mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { issueKey } from '../keys/mod.ts';
import {
  listChangedFiles,
  checkTree,
  diffTrees,
  formatProblem,
  readTreeFolder,
} from '../settings/mod.ts';
import type { SettingsTree } from '../settings/mod.ts';
import { formatTable, reportChange } from './_context.ts';
import type { CommandContext } from './_context.ts';
import { consumeResult, makeInputFailure } from './exit.ts';
import type { CommandFailure } from './exit.ts';

type AsyncResult = Promise<Either<CommandFailure, void>>;

const success: Either<CommandFailure, void> = Right(undefined);
const versionFileName = '.dogwood-version';

function readValidTree(folder: string): Either<CommandFailure, SettingsTree> {
  return readTreeFolder(folder)
    .mapLeft(({ message }) => makeInputFailure(message))
    .chain((tree) => {
      const problems = checkTree(tree);
      if (problems.length === 0) return Right(tree);
      const count = `${problems.length} ${problems.length === 1 ? 'fault' : 'faults'}`;
      return Left(
        makeInputFailure([`${folder}: ${count}`, ...problems.map(formatProblem)].join('\n')),
      );
    });
}

/** Checks the settings tree of a folder without a server. */
export function checkFolder({ out }: CommandContext, folder: string): Either<CommandFailure, void> {
  return readValidTree(folder).chain((tree) => {
    if (Object.keys(tree).length === 0)
      return Left(makeInputFailure(`${folder} contains no settings files`));
    out(`${folder}: ${Object.keys(tree).length} files, no faults`);
    return success;
  });
}

/** Finds the version that a folder is based on, as written by `show --dir`. */
function findBaseVersion(
  folder: string,
  explicitBase: number | undefined,
): Either<CommandFailure, number> {
  if (explicitBase !== undefined) return Right(explicitBase);
  const file = path.join(folder, versionFileName);
  if (!existsSync(file)) {
    const hint =
      'start from "dogwood show --dir DIR", or give the version with --base N (0 for the first settings)';
    return Left(
      makeInputFailure(`${folder} does not record which version it is based on; ${hint}`),
    );
  }
  const text = readFileSync(file, 'utf8').trim();
  return /^\d+$/.test(text)
    ? Right(Number(text))
    : Left(makeInputFailure(`${file} contains no version: ${text}`));
}

/** Replaces the current settings by those of a folder. A conflict is left to the operator. */
export async function applyFolder(
  context: CommandContext,
  { folder, base, note }: { folder: string; base?: number; note: string },
): AsyncResult {
  const folderTree = readValidTree(folder);
  if (folderTree.isLeft()) return Left(folderTree.extract());
  const tree = folderTree.unsafeCoerce();
  const baseVersion = findBaseVersion(folder, base);
  if (baseVersion.isLeft()) return Left(baseVersion.extract());
  // The first settings define the first operator; until then nobody is authorised to read any.
  const isFirst = baseVersion.extract() === 0;
  const current = isFirst ? Right({ version: 0, files: {} }) : await context.client.getSettings();
  if (current.isLeft()) return Left(current.extract());
  const files = listChangedFiles(current.unsafeCoerce().files, tree);
  if (Object.keys(files).length === 0) {
    context.out('Nothing to change.');
    return success;
  }
  const result = await context.client.proposeSettings({
    base: baseVersion.unsafeCoerce(),
    note,
    files,
  });
  return result.chain((acceptedChange) => {
    writeFileSync(path.join(folder, versionFileName), `${acceptedChange.version}\n`);
    return reportChange(context, acceptedChange);
  });
}

/** Shows the current settings, or writes them to an empty folder. */
export async function showSettings(
  { client, out }: CommandContext,
  { file, folder }: { file?: string; folder?: string },
): AsyncResult {
  const settings = await client.getSettings();
  return settings.chain<CommandFailure, void>(({ version, files }) => {
    if (folder !== undefined) {
      if (existsSync(folder) && readdirSync(folder).length > 0) {
        return Left(
          makeInputFailure(
            `${folder} is not empty; its files would be mixed with the written ones`,
          ),
        );
      }
      Object.entries(files).forEach(([name, text]) => {
        const target = path.join(folder, name);
        mkdirSync(path.dirname(target), { recursive: true });
        writeFileSync(target, text);
      });
      mkdirSync(folder, { recursive: true });
      writeFileSync(path.join(folder, versionFileName), `${version}\n`);
      out(`Settings version ${version}: ${Object.keys(files).length} files written to ${folder}`);
      return success;
    }
    if (file !== undefined) {
      const text = files[file];
      if (text === undefined) return Left(makeInputFailure(`the settings have no file ${file}`));
      out(text.trimEnd());
      return success;
    }
    out(`Settings version ${version}`);
    Object.keys(files)
      .sort()
      .forEach((name) => out(name));
    return success;
  });
}

/** Shows how a folder differs from the current settings. */
export async function diffFolder({ client, out }: CommandContext, folder: string): AsyncResult {
  const folderTree = readValidTree(folder);
  if (folderTree.isLeft()) return Left(folderTree.extract());
  const settings = await client.getSettings();
  return consumeResult(settings, ({ version, files }) => {
    const differences = diffTrees(files, folderTree.unsafeCoerce());
    if (differences.length === 0) out(`No difference from settings version ${version}.`);
    differences.forEach(({ path: name, state, lines }) => {
      out(`${name} (${state})`);
      lines.forEach((line) => out(`  ${line}`));
    });
  });
}

/** Shows who changed which settings, and when. */
export async function showHistory({ client, out }: CommandContext, limit: number): AsyncResult {
  const response = await client.getHistory(limit);
  return consumeResult(response, ({ changes }) => {
    const rows = changes.map(({ version, by, at, note, files }) => [
      String(version),
      new Date(at).toISOString(),
      by,
      files.length > 3
        ? `${files.slice(0, 3).join(', ')} and ${files.length - 3} more`
        : files.join(', '),
      note,
    ]);
    out(formatTable([['version', 'time', 'operator', 'files', 'note'], ...rows]));
  });
}

/**
 * Creates an operator key. The section for fleet.ini is printed to `out` and the key to `err`, so
 * that `>> fleet.ini` does not write the key into the settings.
 */
export async function createOperatorKey({ out, err }: CommandContext, name: string): AsyncResult {
  if (!/^[a-z0-9][a-z0-9-]{0,62}$/.test(name)) {
    return Left(makeInputFailure(`operator name ${name} may only have a-z, 0-9 and hyphens`));
  }
  const { key, salt, hash } = await issueKey({ owner: 'operator', id: name });
  err(`The key, which is shown only once; add the section below it to fleet.ini:\n${key}`);
  out(`[operator.${name}]\nsalt = ${salt}\nhash = ${hash}`);
  return success;
}
