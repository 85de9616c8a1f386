/**
 * Checks references and uniqueness across the files of a settings tree.
 */
import type { CheckedFile } from './_check.ts';
import { formatExpectedNames } from './problem.ts';
import type { Problem } from './problem.ts';

type CheckedFilesByPath = Map<string, CheckedFile>;

function listNames(files: CheckedFilesByPath, template: string): string[] {
  return [...files.values()]
    .filter((file) => file.template === template)
    .map(({ pathNames }) => pathNames[0] ?? '');
}

function checkDataCentres(files: CheckedFilesByPath): Problem[] {
  const known = listNames(files, 'data-centres/{name}.ini').sort();
  return [...files].flatMap(([file, { template, sections }]) => {
    const isRack = template === 'upstreams/{rack}.ini';
    const isQueue = template === 'teams/{team}/queues/{queue}.ini';
    if (!isRack && !isQueue) return [];
    const section = isRack ? 'rack' : '';
    const key = isRack ? 'data_centre' : 'data_centres';
    const referenced = [sections[section]?.[key] ?? []].flat() as string[];
    return referenced
      .filter((name) => !known.includes(name))
      .map((got) => ({
        file,
        ...(section ? { section } : {}),
        key,
        message: 'unknown data centre',
        got,
        expected: formatExpectedNames(got, known),
      }));
  });
}

function checkUpstreams(files: CheckedFilesByPath): Problem[] {
  const filesBySection = new Map<string, string>();
  const sectionsByAddress = new Map<string, string>();
  return [...files].flatMap(([file, { template, sections, sectionLines }]) => {
    if (template !== 'upstreams/{rack}.ini') return [];
    return Object.entries(sections).flatMap(([section, { address, port }]) => {
      if (!section.startsWith('upstream.')) return [];
      const line = sectionLines[section];
      const problems: Problem[] = [];
      const firstFile = filesBySection.get(section);
      if (firstFile) {
        const message = `duplicate upstream, also in ${firstFile}`;
        problems.push({ file, line, section, message });
      }
      const socketAddress = `${String(address)}:${String(port)}`;
      const firstSection = sectionsByAddress.get(socketAddress);
      if (firstSection) {
        const message = `address and port are also those of ${firstSection}`;
        problems.push({ file, line, section, message, got: socketAddress });
      }
      filesBySection.set(section, file);
      sectionsByAddress.set(socketAddress, `[${section}] in ${file}`);
      return problems;
    });
  });
}

function checkTeams(files: CheckedFilesByPath): Problem[] {
  const teams = new Set(listNames(files, 'teams/{team}/team.ini'));
  return [...files].flatMap(([file, { template, pathNames }]) => {
    const [team = ''] = pathNames;
    if (!template.startsWith('teams/') || teams.has(team)) return [];
    const expected = `a file teams/${team}/team.ini`;
    return [{ file, message: 'team does not exist', got: team, expected }];
  });
}

/**
 * Finds unknown data centres, duplicate upstreams and addresses, and files of unknown teams.
 *
 * @example
 * findCrossFileProblems(new Map([['upstreams/r1.ini', checkFile('upstreams/r1.ini', text)]]));
 */
export function findCrossFileProblems(files: CheckedFilesByPath): Problem[] {
  return [...checkDataCentres(files), ...checkUpstreams(files), ...checkTeams(files)];
}
