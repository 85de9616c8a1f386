/**
 * Checks one settings file against `settings.json`: its path, sections, keys and values.
 */
import { settingsFiles, settingsSections, validators } from '../schema/mod.ts';
import type { SettingsFile, SettingsKey, Validator } from '../schema/mod.ts';
import { parseSections } from './_parse.ts';
import type { RawSection } from './_parse.ts';
import { expectOneOf, nearest } from './problem.ts';
import type { Problem } from './problem.ts';

/** A settings file whose values were read; sections with faults are absent. */
export interface CheckedFile {
  /** Path in `settings.json`, such as `teams/{team}/team.ini`. */
  template: string;
  /** Names in the path, in order. */
  names: string[];
  /** Values by section name; the empty name stands for keys above the first section. */
  sections: Record<string, Record<string, unknown>>;
  lines: Record<string, number>;
  problems: Problem[];
}

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;
const nameExpected = 'a name of a-z, 0-9 and hyphens, at most 63 characters';
const yes = ['yes', 'true', 'on'];
const no = ['no', 'false', 'off'];

function matchPath(path: string, template: string): string[] | undefined {
  const parts = path.split('/');
  const wanted = template.split('/');
  if (parts.length !== wanted.length) return undefined;
  const names: string[] = [];
  const matches = wanted.every((part, i) => {
    const text = parts[i] ?? '';
    const hole = /^\{\w+\}(.*)$/.exec(part);
    if (!hole) return part === text;
    const suffix = hole[1] ?? '';
    names.push(text.slice(0, text.length - suffix.length));
    return text.endsWith(suffix);
  });
  return matches ? names : undefined;
}

function convert(text: string, { type }: SettingsKey): unknown {
  if (type === 'boolean') {
    if (yes.includes(text.toLowerCase())) return true;
    return no.includes(text.toLowerCase()) ? false : text;
  }
  if (type === 'integer' || type === 'number') {
    return /^-?\d+(\.\d+)?$/.test(text) ? Number(text) : text;
  }
  if (type === 'array') {
    if (text.trim() === '') return [];
    return text.split(',').map((item) => item.trim());
  }
  return text;
}

function checkSection(options: { file: string; type: string; raw: RawSection }): {
  values?: Record<string, unknown>;
  problems: Problem[];
} {
  const { file, type, raw } = options;
  const keys = settingsSections[type] ?? {};
  const place = { file, ...(raw.name ? { section: raw.name } : {}) };
  const problems: Problem[] = [];
  raw.values.forEach(({ text, line }, key) => {
    if (Object.hasOwn(keys, key)) return;
    const expected = expectOneOf(key, Object.keys(keys));
    problems.push({ ...place, line, key, message: 'unknown key', got: text, expected });
  });
  const values: Record<string, unknown> = {};
  Object.entries(keys).forEach(([key, definition]) => {
    const given = raw.values.get(key);
    if (given) values[key] = convert(given.text, definition);
    else if (definition.default !== undefined) values[key] = structuredClone(definition.default);
    else {
      const { expected } = definition;
      problems.push({ ...place, line: raw.line, key, message: 'key is missing', expected });
    }
  });
  const validate = (validators as unknown as Record<string, Validator>)[`validate${type}`];
  if (!validate) throw new Error(`no validator for settings section ${type}`);
  if (!validate(values)) {
    const wrong = (validate.errors ?? []).map(
      ({ instancePath }) => instancePath.split('/')[1] ?? '',
    );
    [...new Set(wrong)].forEach((key) => {
      const given = raw.values.get(key);
      const definition = keys[key];
      if (!given || !definition) return;
      const { text: got, line } = given;
      const { expected } = definition;
      problems.push({ ...place, line, key, message: 'value is not valid', got, expected });
    });
  }
  return problems.length > 0 ? { problems } : { values, problems };
}

function findType(name: string, { keys, sections }: SettingsFile): string | undefined {
  if (name === '') return keys;
  if (Object.hasOwn(sections, name)) return sections[name];
  const dot = name.indexOf('.');
  if (dot < 0 || !namePattern.test(name.slice(dot + 1))) return undefined;
  return sections[`${name.slice(0, dot)}.NAME`];
}

function unknownSection(raw: RawSection, { sections }: SettingsFile): Omit<Problem, 'file'> {
  const known = Object.keys(sections);
  const place = { line: raw.line, section: raw.name };
  const [prefix, name] = raw.name.split(/\.(.*)/s);
  if (name !== undefined && known.includes(`${prefix}.NAME`)) {
    return { ...place, message: 'section name is not valid', got: name, expected: nameExpected };
  }
  // Compared without the free part, so that [operatr.ana] finds operator.NAME.
  const probe = name === undefined ? raw.name : `${prefix}.NAME`;
  return { ...place, message: 'unknown section', expected: expectOneOf(probe, known) };
}

function unknownPath(path: string): Problem {
  const known = settingsFiles.filter(({ local }) => !local).map((file) => file.path);
  const likely = known.find((template) => {
    const folder = template.split('/')[0] ?? '';
    return folder === nearest(path.split('/')[0] ?? '', [folder]);
  });
  const suggestion = likely ? ` (did you mean ${likely}?)` : '';
  const expected = `one of ${known.join(', ')}${suggestion}`;
  return { file: path, message: 'unknown file', expected };
}

/**
 * Checks the text of one file; all its faults are reported at once.
 *
 * @example
 * checkFile('teams/millers/team.ini', 'limit = 100\n').problems;
 */
export function checkFile(path: string, text: string): CheckedFile {
  const checked: CheckedFile = { template: '', names: [], sections: {}, lines: {}, problems: [] };
  const file = settingsFiles.find((candidate) => matchPath(path, candidate.path));
  if (!file) return { ...checked, problems: [unknownPath(path)] };
  const names = matchPath(path, file.path) ?? [];
  const problems: Problem[] = names
    .filter((name) => !namePattern.test(name))
    .map((got) => ({ file: path, message: 'name in the path', got, expected: nameExpected }));
  const parsed = parseSections(path, text);
  problems.push(...parsed.problems);
  const { sections, lines } = checked;
  const given = new Set(parsed.sections.map(({ name }) => name));
  // A section that is left out still has defaults, and may lack required keys.
  const omitted = Object.keys(file.sections).filter(
    (name) => !name.endsWith('.NAME') && !given.has(name),
  );
  const all = [
    ...parsed.sections,
    ...omitted.map((name) => ({ name, line: 1, values: new Map() })),
  ];
  all.forEach((raw) => {
    const type = findType(raw.name, file);
    if (!type) {
      if (raw.name === '') {
        raw.values.forEach(({ line, text: got }, key) => {
          const expected = `a section before it: ${Object.keys(file.sections).join(', ')}`;
          problems.push({ file: path, line, key, message: 'key outside a section', got, expected });
        });
      } else problems.push({ file: path, ...unknownSection(raw, file) });
      return;
    }
    const result = checkSection({ file: path, type, raw });
    problems.push(...result.problems);
    if (result.values) sections[raw.name] = result.values;
    lines[raw.name] = raw.line;
  });
  return { template: file.path, names, sections, lines, problems };
}
