/**
 * Edits the text of a settings file and leaves comments and the order of lines as they are.
 */

const header = /^\s*\[([^\]]*)\]/;

/** First and one past the last line of a section; the empty name stands for the top of the file. */
function findSection(lines: string[], section: string): [number, number] | undefined {
  const starts = lines.flatMap((line, i) => {
    const name = header.exec(line)?.[1]?.trim();
    return name === undefined ? [] : [{ name, i }];
  });
  if (section === '') return [0, starts[0]?.i ?? lines.length];
  const at = starts.findIndex(({ name }) => name === section);
  const start = starts[at];
  return start ? [start.i, starts[at + 1]?.i ?? lines.length] : undefined;
}

function splitLines(text: string): string[] {
  const lines = text.split('\n');
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

const joinLines = (lines: string[]) => (lines.length > 0 ? `${lines.join('\n')}\n` : '');

/**
 * Adds a section at the end of the file.
 *
 * @example
 * addSection('', { section: 'key.k1', values: { salt: 'a', hash: 'b' } });
 */
export function addSection(
  text: string,
  { section, values }: { section: string; values: Record<string, string> },
): string {
  const lines = splitLines(text);
  const gap = lines.length > 0 && lines.at(-1)?.trim() !== '' ? [''] : [];
  const body = Object.entries(values).map(([key, value]) => `${key} = ${value}`);
  return joinLines([...lines, ...gap, `[${section}]`, ...body]);
}

/**
 * Removes a section.
 *
 * @example
 * removeSection('[key.k1]\nsalt = a\n', 'key.k1'); // ''
 */
export function removeSection(text: string, section: string): string {
  const lines = splitLines(text);
  const found = findSection(lines, section);
  if (found) lines.splice(found[0], found[1] - found[0]);
  return joinLines(lines);
}

/**
 * Sets a key; a comment behind the old value stays.
 *
 * @example
 * setKey('limit = 5 ; tasks\n', { section: '', key: 'limit', value: '6' }); // limit = 6 ; tasks
 */
export function setKey(
  text: string,
  { section, key, value }: { section: string; key: string; value: string },
): string {
  const lines = splitLines(text);
  const found = findSection(lines, section);
  if (!found) return addSection(text, { section, values: { [key]: value } });
  const [start, end] = found;
  const at = lines.findIndex(
    (line, i) => i >= start && i < end && line.split('=')[0]?.trim() === key && line.includes('='),
  );
  if (at >= 0) {
    const comment = /\s+[;#].*$/.exec(lines[at] ?? '')?.[0] ?? '';
    lines[at] = `${key} = ${value}${comment}`;
    return joinLines(lines);
  }
  let last = end;
  while (last > start && lines[last - 1]?.trim() === '') last -= 1;
  lines.splice(last, 0, `${key} = ${value}`);
  return joinLines(lines);
}
