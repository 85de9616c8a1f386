/**
 * Keeps the current settings of a process, read from the rows of the table service.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Change, Head, Row } from '../schema/mod.ts';
import type { Table } from '../table/mod.ts';
import type { Fleet } from './fleet.ts';
import type { Settings } from './settings.ts';
import { buildFleet } from './tree.ts';
import type { CheckedFileCache, SettingsTree } from './tree.ts';

/** Current settings, with the text of their files for operators. */
export interface SettingsHolder extends Settings {
  tree(): SettingsTree;
}

const treePrefix = 'tree/';
const rowsPerPage = 500;
// A change committed during a load requires another attempt; changes come once a minute.
const maxLoadAttempts = 5;
// Peers lag by a few changes at most; a process that lags further loads the whole tree.
const maxRecentChanges = 256;
const maxRowsPerRead = 64;

/**
 * Returns a copy of the tree with the changed files; null removes a file.
 *
 * @example
 * applyFiles({ 'fleet.ini': '' }, { 'fleet.ini': null }); // {}
 */
export function applyFiles(tree: SettingsTree, files: Change['files']): SettingsTree {
  const result = { ...tree };
  Object.entries(files).forEach(([path, text]) => {
    if (text === null) delete result[path];
    else result[path] = text;
  });
  return result;
}

async function readTree(table: Table): Outcome<SettingsTree> {
  const tree: SettingsTree = {};
  let after: string | undefined;
  for (;;) {
    const page = await table.scan(treePrefix, { limit: rowsPerPage, ...(after ? { after } : {}) });
    if (page.isLeft()) return page;
    const rows = page.unsafeCoerce();
    rows.forEach(({ key, value }) => {
      if (typeof value === 'string') tree[key.slice(treePrefix.length)] = value;
    });
    const last = rows.at(-1);
    if (!last || rows.length < rowsPerPage) return Right(tree);
    after = last.key;
  }
}

async function readSettingsVersion(table: Table): Outcome<number> {
  const rows = await table.read(['head']);
  return rows.map(([row]) => (row?.value as Head | undefined)?.settings ?? 0);
}

/** Reads the tree and its version; reads them again if `head` changed during the read. */
async function loadTree(table: Table): Outcome<{ tree: SettingsTree; version: number }> {
  for (let attempt = 0; attempt < maxLoadAttempts; attempt++) {
    const before = await readSettingsVersion(table);
    if (before.isLeft()) return before;
    const tree = await readTree(table);
    if (tree.isLeft()) return tree;
    const after = await readSettingsVersion(table);
    if (after.isLeft()) return after;
    const version = after.unsafeCoerce();
    if (before.unsafeCoerce() === version) return Right({ tree: tree.unsafeCoerce(), version });
  }
  return failWith(ErrorKind.NotFresh, 'the settings changed each time that they were read', {
    got: `${maxLoadAttempts} tries`,
    expected: 'one version of head before and after the read',
  });
}

/**
 * Makes the settings of a process; they are empty, at version 0, until `load`.
 *
 * @example
 * const settings = makeSettings({ table, invariants, log: logs(Component.Settings) });
 * await settings.load();
 */
export function makeSettings(parts: {
  table: Table;
  invariants: InvariantChecker;
  log: Logger;
}): SettingsHolder {
  const { table, invariants, log } = parts;
  const cache: CheckedFileCache = new Map();
  const observers: ((fleet: Fleet) => void)[] = [];
  let currentTree: SettingsTree = {};
  let fleet = buildFleet({}, 0).unsafeCoerce();
  let recentChanges: Change[] = [];

  const replaceFleet = (next: Fleet, tree: SettingsTree) => {
    invariants.check(
      Invariant.Settings,
      next.version > fleet.version,
      () => `settings ${next.version} would replace ${fleet.version}`,
    );
    fleet = next;
    currentTree = tree;
    log.info('Settings applied.', { version: next.version });
    observers.forEach((observe) => observe(next));
  };

  const applyOne = (change: Change): Either<Failure, Fleet> => {
    if (change.version <= fleet.version) return Right(fleet);
    if (change.version !== fleet.version + 1) {
      return failWith(ErrorKind.NotFresh, 'a settings change is missing', {
        got: change.version,
        expected: fleet.version + 1,
      });
    }
    const tree = applyFiles(currentTree, change.files);
    return buildFleet(tree, change.version, { cache })
      .ifLeft((cause) => {
        // The committing process validated the tree, so it runs another release of the program.
        log.error('A committed settings change failed validation.', {
          version: change.version,
          cause: cause.message,
        });
      })
      .map((next) => {
        recentChanges = [...recentChanges, change].slice(-maxRecentChanges);
        replaceFleet(next, tree);
        return next;
      });
  };

  const apply = (changes: Change[]): Either<Failure, Fleet> =>
    [...changes]
      .sort((a, b) => a.version - b.version)
      .reduce<Either<Failure, Fleet>>(
        (previous, change) => previous.chain(() => applyOne(change)),
        Right(fleet),
      );

  const load = async (): Outcome<Fleet> => {
    const loaded = await loadTree(table);
    return loaded.chain(({ tree, version }) => {
      if (version <= fleet.version) return Right(fleet);
      return buildFleet(tree, version, { cache }).map((next) => {
        // Peers could not apply changes that follow a gap.
        recentChanges = [];
        replaceFleet(next, tree);
        return next;
      });
    });
  };

  const catchUp = async (version: number): Outcome<Fleet> => {
    while (fleet.version < version) {
      const from = fleet.version;
      const count = Math.min(version - from, maxRowsPerRead);
      const keys = Array.from({ length: count }, (_, i) => `settings/${from + 1 + i}`);
      const read = await table.read(keys);
      if (read.isLeft()) return read;
      const rows: Row[] = read.unsafeCoerce();
      if (rows.some(({ value }) => value === undefined)) return load();
      const applied = apply(rows.map(({ value }) => value as Change));
      if (applied.isLeft()) return applied;
    }
    return Right(fleet);
  };

  return {
    current: () => fleet,
    tree: () => currentTree,
    apply,
    load,
    catchUp,
    after(version) {
      const first = recentChanges[0]?.version;
      if (first === undefined || first > version + 1) return [];
      return recentChanges.filter((change) => change.version > version);
    },
    subscribe: (observer) => {
      observers.push(observer);
    },
  };
}
