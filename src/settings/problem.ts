/**
 * Problems in settings files, with their location and the expected value.
 */

/** A problem in a settings file; a check reports the problems of all files at once. */
export interface Problem {
  file: string;
  line?: number;
  section?: string;
  key?: string;
  message: string;
  got?: string;
  expected?: string;
}

/**
 * Formats a problem as one line.
 *
 * @example
 * formatProblem({ file: 'fleet.ini', section: 'policy', key: 'lease', message: 'unknown key' });
 */
export function formatProblem(problem: Problem): string {
  const { file, line, section, key, message, got, expected } = problem;
  const location = [
    line === undefined ? file : `${file}:${line}`,
    section ? ` [${section}]` : '',
    key ? ` ${key}` : '',
  ].join('');
  const details = [
    got === undefined ? '' : `got "${got}"`,
    expected === undefined ? '' : `expected ${expected}`,
  ].filter(Boolean);
  return `${location}: ${[message, ...details].join(', ')}`;
}

/** Returns the Levenshtein distance: the number of insertions, deletions and replacements. */
function editDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const replacementCost = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(replacementCost, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}

// A misspelt name differs in a few letters; beyond this distance it is probably another word.
const maxSuggestionDistance = 4;

/**
 * Finds the known name with the smallest edit distance, if it is near enough to be a misspelling.
 *
 * @example
 * findNearestName('limt', ['share', 'limit']); // limit
 */
export function findNearestName(name: string, known: string[]): string | undefined {
  const truncatedName = name.slice(0, 100);
  const [best] = known
    .map((candidate) => ({ candidate, distance: editDistance(truncatedName, candidate) }))
    .filter(
      ({ distance, candidate }) =>
        distance <= Math.min(maxSuggestionDistance, candidate.length / 2),
    )
    .sort((a, b) => a.distance - b.distance);
  return best?.candidate;
}

/**
 * Formats the list of known names, with a suggestion if one is near to `name`.
 *
 * @example
 * formatExpectedNames('limt', ['share', 'limit']); // one of share, limit (did you mean limit?)
 */
export function formatExpectedNames(name: string, known: string[]): string {
  const suggestion = findNearestName(name, known);
  const list = known.length > 0 ? `one of ${known.join(', ')}` : 'none';
  return suggestion ? `${list} (did you mean ${suggestion}?)` : list;
}
