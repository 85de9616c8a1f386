/**
 * Checks that files of a settings tree fit together.
 */
import type { CheckedFile } from './_check.ts';
import { expectOneOf } from './problem.ts';
import type { Problem } from './problem.ts';

type Files = Map<string, CheckedFile>;

function namesOf(files: Files, template: string): string[] {
  return [...files.values()]
    .filter((file) => file.template === template)
    .map(({ names }) => names[0] ?? '');
}

function checkDataCentres(files: Files): Problem[] {
  const known = namesOf(files, 'data-centres/{name}.ini').sort();
  return [...files].flatMap(([file, { template, sections }]) => {
    const isRack = template === 'upstreams/{rack}.ini';
    const isQueue = template === 'teams/{team}/queues/{queue}.ini';
    if (!isRack && !isQueue) return [];
    const section = isRack ? 'rack' : '';
    const key = isRack ? 'data_centre' : 'data_centres';
    const named = [sections[section]?.[key] ?? []].flat() as string[];
    return named
      .filter((name) => !known.includes(name))
      .map((got) => ({
        file,
        ...(section ? { section } : {}),
        key,
        message: 'unknown data centre',
        got,
        expected: expectOneOf(got, known),
      }));
  });
}

function checkUpstreams(files: Files): Problem[] {
  const ids = new Map<string, string>();
  const places = new Map<string, string>();
  return [...files].flatMap(([file, { template, sections, lines }]) => {
    if (template !== 'upstreams/{rack}.ini') return [];
    return Object.entries(sections).flatMap(([section, { address, port }]) => {
      if (!section.startsWith('upstream.')) return [];
      const line = lines[section];
      const problems: Problem[] = [];
      const elsewhere = ids.get(section);
      if (elsewhere) {
        const message = `duplicate upstream, also in ${elsewhere}`;
        problems.push({ file, line, section, message });
      }
      const place = `${String(address)}:${String(port)}`;
      const other = places.get(place);
      if (other) {
        const message = `address and port are also those of ${other}`;
        problems.push({ file, line, section, message, got: place });
      }
      ids.set(section, file);
      places.set(place, `[${section}] in ${file}`);
      return problems;
    });
  });
}

function checkTeams(files: Files): Problem[] {
  const teams = new Set(namesOf(files, 'teams/{team}/team.ini'));
  return [...files].flatMap(([file, { template, names }]) => {
    const [team = ''] = names;
    if (!template.startsWith('teams/') || teams.has(team)) return [];
    const expected = `a file teams/${team}/team.ini`;
    return [{ file, message: 'team does not exist', got: team, expected }];
  });
}

/**
 * Finds the faults that no file shows by itself.
 *
 * @example
 * findCrossFileProblems(new Map([['upstreams/r1.ini', checkFile('upstreams/r1.ini', text)]]));
 */
export function findCrossFileProblems(files: Files): Problem[] {
  return [...checkDataCentres(files), ...checkUpstreams(files), ...checkTeams(files)];
}
