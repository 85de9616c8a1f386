/**
 * Splits an INI file into sections.
 *
 * The `ini` library drops duplicate keys and merges duplicate sections without a word, so this file
 * finds sections and keys line by line and leaves only the values to the library.
 */
import ini from 'ini';

import type { Problem } from './problem.ts';

/** A section as written; the name is empty for keys above the first section. */
export interface RawSection {
  name: string;
  line: number;
  values: Map<string, { text: string; line: number }>;
}

const comment = /^\s*([;#]|$)/;
const header = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const assignment = /^\s*([^=[\s][^=]*?)\s*=/;

function readValue(line: string): string {
  const [value] = Object.values(
    ini.parse(`value=${line.slice(line.indexOf('=') + 1)}`),
  ) as unknown[];
  return String(value ?? '');
}

/**
 * Parses the text of a settings file; duplicate sections and keys are problems.
 *
 * @example
 * parseSections('team.ini', 'share = 2\n').sections[0].values.get('share');
 */
export function parseSections(
  file: string,
  text: string,
): { sections: RawSection[]; problems: Problem[] } {
  const problems: Problem[] = [];
  let current: RawSection = { name: '', line: 1, values: new Map() };
  const sections = [current];
  text.split(/\r\n|\n|\r/).forEach((content, index) => {
    const line = index + 1;
    if (comment.test(content)) return;
    const section = header.exec(content)?.[1]?.trim();
    if (section !== undefined) {
      const first = sections.find(({ name }) => name === section);
      if (section === '') problems.push({ file, line, message: 'section without a name' });
      else if (first) {
        const message = `duplicate section, first in line ${first.line}`;
        problems.push({ file, line, section, message });
      }
      current = { name: section, line, values: new Map() };
      // The keys of a duplicate are still checked against each other, but not used.
      if (!first) sections.push(current);
      return;
    }
    const key = assignment.exec(content)?.[1];
    if (key === undefined) {
      const expected = '"key = value", "[section]" or a comment';
      const got = content.trim().slice(0, 80);
      problems.push({ file, line, message: 'line is not understood', got, expected });
      return;
    }
    const place = { file, line, ...(current.name ? { section: current.name } : {}), key };
    const first = current.values.get(key);
    if (first) {
      problems.push({ ...place, message: `duplicate key, first in line ${first.line}` });
      return;
    }
    current.values.set(key, { text: readValue(content), line });
  });
  return { sections, problems };
}
