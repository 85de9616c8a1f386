/**
 * Edits the text of a settings file while keeping comments and the order of lines.
 */

const sectionHeader = /^\s*\[([^\]]*)\]/;

/** Returns the half-open line range of a section; the empty name is the part before any section. */
function findSection(lines: string[], section: string): [number, number] | undefined {
  const headers = lines.flatMap((line, i) => {
    const name = sectionHeader.exec(line)?.[1]?.trim();
    return name === undefined ? [] : [{ name, i }];
  });
  if (section === '') return [0, headers[0]?.i ?? lines.length];
  const headerIndex = headers.findIndex(({ name }) => name === section);
  const header = headers[headerIndex];
  return header ? [header.i, headers[headerIndex + 1]?.i ?? lines.length] : undefined;
}

function splitLines(text: string): string[] {
  const lines = text.split('\n');
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

const joinLines = (lines: string[]) => (lines.length > 0 ? `${lines.join('\n')}\n` : '');

/**
 * Appends a section to the file.
 *
 * @example
 * addSection('', { section: 'key.k1', values: { salt: 'a', hash: 'b' } });
 */
export function addSection(
  text: string,
  { section, values }: { section: string; values: Record<string, string> },
): string {
  const lines = splitLines(text);
  const separator = lines.length > 0 && lines.at(-1)?.trim() !== '' ? [''] : [];
  const entryLines = Object.entries(values).map(([key, value]) => `${key} = ${value}`);
  return joinLines([...lines, ...separator, `[${section}]`, ...entryLines]);
}

/**
 * Removes a section.
 *
 * @example
 * removeSection('[key.k1]\nsalt = a\n', 'key.k1'); // ''
 */
export function removeSection(text: string, section: string): string {
  const lines = splitLines(text);
  const range = findSection(lines, section);
  if (range) lines.splice(range[0], range[1] - range[0]);
  return joinLines(lines);
}

/**
 * Sets a key of a section and keeps a comment after the old value. Adds what does not exist yet.
 *
 * @example
 * setKey('limit = 5 ; tasks\n', { section: '', key: 'limit', value: '6' }); // limit = 6 ; tasks
 */
export function setKey(
  text: string,
  { section, key, value }: { section: string; key: string; value: string },
): string {
  const lines = splitLines(text);
  const range = findSection(lines, section);
  if (!range) return addSection(text, { section, values: { [key]: value } });
  const [start, end] = range;
  const lineIndex = lines.findIndex(
    (line, i) => i >= start && i < end && line.split('=')[0]?.trim() === key && line.includes('='),
  );
  if (lineIndex >= 0) {
    const comment = /\s+[;#].*$/.exec(lines[lineIndex] ?? '')?.[0] ?? '';
    lines[lineIndex] = `${key} = ${value}${comment}`;
    return joinLines(lines);
  }
  let insertAt = end;
  while (insertAt > start && lines[insertAt - 1]?.trim() === '') insertAt -= 1;
  lines.splice(insertAt, 0, `${key} = ${value}`);
  return joinLines(lines);
}
