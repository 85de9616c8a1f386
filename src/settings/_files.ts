/**
 * Reads a settings tree from a folder, for the operator command. Only this file of the module
 * accesses the file system.
 */
import { readFileSync, readdirSync, statSync } from 'node:fs';
import path from 'node:path';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { SettingsTree } from './tree.ts';

const isHidden = (name: string) => name.split('/').some((part) => part.startsWith('.'));

/**
 * Reads the settings files of a folder. Hidden files, such as those of version control, and README
 * files are skipped.
 *
 * @example
 * readTreeFolder('settings').map((tree) => checkTree(tree));
 */
export function readTreeFolder(folder: string): Either<Failure, SettingsTree> {
  try {
    const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
      .filter((name) => statSync(path.join(folder, name)).isFile())
      .map((name) => name.split(path.sep).join('/'))
      .filter((name) => !isHidden(name) && !/(^|\/)README(\.\w+)?$/.test(name))
      .sort();
    return Right(
      Object.fromEntries(
        names.map((name) => [name, readFileSync(path.join(folder, name), 'utf8')]),
      ),
    );
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Left(
      makeFailure(ErrorKind.SettingsInvalid, `the settings folder cannot be read: ${message}`, {
        got: folder,
        expected: 'a folder with fleet.ini, data-centres, upstreams and teams',
      }),
    );
  }
}
