/**
 * Compares two settings trees file by file.
 */
import type { SettingsTree } from './tree.ts';

/** A file that differs between two trees. */
export interface FileDifference {
  path: string;
  state: 'added' | 'removed' | 'changed';
  /** Removed lines, prefixed with `- `, and added lines, prefixed with `+ `. */
  lines: string[];
}

/** Lists removed and added lines in order, using the longest common subsequence. */
function diffLines(before: string[], after: string[]): string[] {
  const width = after.length + 1;
  const commonLengths = new Uint32Array((before.length + 1) * width);
  for (let i = before.length - 1; i >= 0; i--) {
    for (let j = after.length - 1; j >= 0; j--) {
      const index = i * width + j;
      commonLengths[index] =
        before[i] === after[j]
          ? (commonLengths[index + width + 1] ?? 0) + 1
          : Math.max(commonLengths[index + width] ?? 0, commonLengths[index + 1] ?? 0);
    }
  }
  const lines: string[] = [];
  let i = 0;
  let j = 0;
  while (i < before.length || j < after.length) {
    const index = i * width + j;
    if (i < before.length && j < after.length && before[i] === after[j]) {
      i += 1;
      j += 1;
    } else if (
      j >= after.length ||
      (i < before.length && (commonLengths[index + width] ?? 0) >= (commonLengths[index + 1] ?? 0))
    ) {
      lines.push(`- ${before[i] ?? ''}`);
      i += 1;
    } else {
      lines.push(`+ ${after[j] ?? ''}`);
      j += 1;
    }
  }
  return lines;
}

const splitLines = (text: string | undefined) => (text ? text.trimEnd().split('\n') : []);

/**
 * Lists the files that differ, sorted by path.
 *
 * @example
 * diffTrees({ 'a.ini': 'x = 1' }, { 'a.ini': 'x = 2' })[0].lines; // ['- x = 1', '+ x = 2']
 */
export function diffTrees(before: SettingsTree, after: SettingsTree): FileDifference[] {
  const paths = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return paths.flatMap((path): FileDifference[] => {
    const oldText = before[path];
    const newText = after[path];
    if (oldText === newText) return [];
    const lines = diffLines(splitLines(oldText), splitLines(newText));
    if (oldText === undefined) return [{ path, state: 'added', lines }];
    return [{ path, state: newText === undefined ? 'removed' : 'changed', lines }];
  });
}

/**
 * Returns the file changes that turn `before` into `after`; null removes a file.
 *
 * @example
 * listChangedFiles({ 'a.ini': '' }, {}); // { 'a.ini': null }
 */
export function listChangedFiles(
  before: SettingsTree,
  after: SettingsTree,
): Record<string, string | null> {
  return Object.fromEntries(
    diffTrees(before, after).map(({ path }) => [path, after[path] ?? null]),
  );
}
