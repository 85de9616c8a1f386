/**
 * Parses an INI file into sections, with line numbers.
 *
 * The `ini` library silently drops duplicate keys and merges duplicate sections, so this module
 * finds sections and keys line by line and uses the library only to parse values.
 */
import ini from 'ini';

import type { Problem } from './problem.ts';

/** A section before type conversion; the name is empty for keys above the first section. */
export interface RawSection {
  name: string;
  line: number;
  values: Map<string, { text: string; line: number }>;
}

const commentPattern = /^\s*([;#]|$)/;
const headerPattern = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const assignmentPattern = /^\s*([^=[\s][^=]*?)\s*=/;

function readValue(line: string): string {
  const [value] = Object.values(
    ini.parse(`value=${line.slice(line.indexOf('=') + 1)}`),
  ) as unknown[];
  return String(value ?? '');
}

/**
 * Parses the text of a settings file; reports duplicate sections and keys and malformed lines.
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
  text.split(/\r\n|\n|\r/).forEach((lineText, index) => {
    const line = index + 1;
    if (commentPattern.test(lineText)) return;
    const section = headerPattern.exec(lineText)?.[1]?.trim();
    if (section !== undefined) {
      const firstSection = sections.find(({ name }) => name === section);
      if (section === '') problems.push({ file, line, message: 'section without a name' });
      else if (firstSection) {
        const message = `duplicate section, first in line ${firstSection.line}`;
        problems.push({ file, line, section, message });
      }
      current = { name: section, line, values: new Map() };
      // Duplicate keys within a duplicate section are reported too, but its values are discarded.
      if (!firstSection) sections.push(current);
      return;
    }
    const key = assignmentPattern.exec(lineText)?.[1];
    if (key === undefined) {
      const expected = '"key = value", "[section]" or a comment';
      const got = lineText.trim().slice(0, 80);
      problems.push({ file, line, message: 'line is not understood', got, expected });
      return;
    }
    const location = { file, line, ...(current.name ? { section: current.name } : {}), key };
    const firstValue = current.values.get(key);
    if (firstValue) {
      problems.push({ ...location, message: `duplicate key, first in line ${firstValue.line}` });
      return;
    }
    current.values.set(key, { text: readValue(lineText), line });
  });
  return { sections, problems };
}
