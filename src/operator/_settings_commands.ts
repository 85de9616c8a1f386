/**
 * Commands over whole settings trees.
 */
import { existsSync, mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { issueKey } from '../keys/mod.ts';
import {
  changedFiles,
  checkTree,
  diffTrees,
  formatProblem,
  readTreeFolder,
} from '../settings/mod.ts';
import type { Tree } from '../settings/mod.ts';
import { formatTable, tellChange } from './_context.ts';
import type { Context } from './_context.ts';
import { useAnswer, wrong } from './exit.ts';
import type { Trouble } from './exit.ts';

type Ended = Promise<Either<Trouble, void>>;

const fine: Either<Trouble, void> = Right(undefined);
const versionFile = '.dogwood-version';

function readChecked(folder: string): Either<Trouble, Tree> {
  return readTreeFolder(folder)
    .mapLeft(({ message }) => wrong(message))
    .chain((tree) => {
      const problems = checkTree(tree);
      if (problems.length === 0) return Right(tree);
      const count = `${problems.length} ${problems.length === 1 ? 'fault' : 'faults'}`;
      return Left(wrong([`${folder}: ${count}`, ...problems.map(formatProblem)].join('\n')));
    });
}

/** Checks a folder; no process needs to run. */
export function check({ out }: Context, folder: string): Either<Trouble, void> {
  return readChecked(folder).chain((tree) => {
    if (Object.keys(tree).length === 0) return Left(wrong(`${folder} holds no settings files`));
    out(`${folder}: ${Object.keys(tree).length} files, no faults`);
    return fine;
  });
}

/** The version that a folder was made from, as `show --dir` noted it. */
function findBase(folder: string, given: number | undefined): Either<Trouble, number> {
  if (given !== undefined) return Right(given);
  const file = path.join(folder, versionFile);
  if (!existsSync(file)) {
    const hint =
      'start from "dogwood show --dir DIR", or name it with --base N (0 for the first settings)';
    return Left(wrong(`${folder} does not say which version it was made from; ${hint}`));
  }
  const text = readFileSync(file, 'utf8').trim();
  return /^\d+$/.test(text)
    ? Right(Number(text))
    : Left(wrong(`${file} holds no version: ${text}`));
}

/** Makes the settings in force those of a folder. A lost race is left to the operator. */
export async function apply(
  context: Context,
  { folder, base, note }: { folder: string; base?: number; note: string },
): Ended {
  const wanted = readChecked(folder);
  if (wanted.isLeft()) return Left(wanted.extract());
  const tree = wanted.unsafeCoerce();
  const found = findBase(folder, base);
  if (found.isLeft()) return Left(found.extract());
  // The first settings name their own operator; the server has none yet that could read.
  const isFirst = found.extract() === 0;
  const current = isFirst ? Right({ version: 0, files: {} }) : await context.client.settings();
  if (current.isLeft()) return Left(current.extract());
  const files = changedFiles(current.unsafeCoerce().files, tree);
  if (Object.keys(files).length === 0) {
    context.out('Nothing to change.');
    return fine;
  }
  const change = await context.client.propose({ base: found.unsafeCoerce(), note, files });
  return change.chain((done) => {
    writeFileSync(path.join(folder, versionFile), `${done.version}\n`);
    return tellChange(context, done);
  });
}

/** Shows the settings in force, or writes them to an empty folder. */
export async function show(
  { client, out }: Context,
  { file, folder }: { file?: string; folder?: string },
): Ended {
  const settings = await client.settings();
  return settings.chain<Trouble, void>(({ version, files }) => {
    if (folder !== undefined) {
      if (existsSync(folder) && readdirSync(folder).length > 0) {
        return Left(wrong(`${folder} is not empty; files there would be mixed with those written`));
      }
      Object.entries(files).forEach(([name, text]) => {
        const target = path.join(folder, name);
        mkdirSync(path.dirname(target), { recursive: true });
        writeFileSync(target, text);
      });
      mkdirSync(folder, { recursive: true });
      writeFileSync(path.join(folder, versionFile), `${version}\n`);
      out(`Settings version ${version}: ${Object.keys(files).length} files written to ${folder}`);
      return fine;
    }
    if (file !== undefined) {
      const text = files[file];
      if (text === undefined) return Left(wrong(`the settings have no file ${file}`));
      out(text.trimEnd());
      return fine;
    }
    out(`Settings version ${version}`);
    Object.keys(files)
      .sort()
      .forEach((name) => out(name));
    return fine;
  });
}

/** Shows how a folder differs from the settings in force. */
export async function diff({ client, out }: Context, folder: string): Ended {
  const wanted = readChecked(folder);
  if (wanted.isLeft()) return Left(wanted.extract());
  const settings = await client.settings();
  return useAnswer(settings, ({ version, files }) => {
    const differences = diffTrees(files, wanted.unsafeCoerce());
    if (differences.length === 0) out(`No difference from settings version ${version}.`);
    differences.forEach(({ path: name, state, lines }) => {
      out(`${name} (${state})`);
      lines.forEach((line) => out(`  ${line}`));
    });
  });
}

/** Shows who changed what. */
export async function history({ client, out }: Context, limit: number): Ended {
  const answer = await client.history(limit);
  return useAnswer(answer, ({ changes }) => {
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
 * Creates an operator key. The section for fleet.ini goes to the output and the key to the errors, so
 * that `>> fleet.ini` does not write the key into the settings.
 */
export async function operatorKey({ out, err }: Context, name: string): Ended {
  if (!/^[a-z0-9][a-z0-9-]{0,62}$/.test(name)) {
    return Left(wrong(`operator name ${name} may only have a-z, 0-9 and hyphens`));
  }
  const { key, salt, hash } = await issueKey({ owner: 'operator', id: name });
  err(`The key, shown only now; the section below it belongs into fleet.ini:\n${key}`);
  out(`[operator.${name}]\nsalt = ${salt}\nhash = ${hash}`);
  return fine;
}
