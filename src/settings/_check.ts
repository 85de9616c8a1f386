/**
 * Validates one settings file against `settings.json`: its path, sections, keys and values.
 */
import { settingsFiles, settingsSections, validators } from '../schema/mod.ts';
import type { SettingsFile, SettingsKey, Validator } from '../schema/mod.ts';
import { parseSections } from './_parse.ts';
import type { RawSection } from './_parse.ts';
import { formatExpectedNames, findNearestName } from './problem.ts';
import type { Problem } from './problem.ts';

/** The result of checking a settings file; invalid sections are absent. */
export interface CheckedFile {
  /** Path template in `settings.json`, such as `teams/{team}/team.ini`. */
  template: string;
  /** Values of the placeholders in the path, in order. */
  pathNames: string[];
  /** Values by section name; the empty name is for keys above the first section. */
  sections: Record<string, Record<string, unknown>>;
  /** Line of each section header. */
  sectionLines: Record<string, number>;
  problems: Problem[];
}

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;
const nameRequirement = 'a name of a-z, 0-9 and hyphens, at most 63 characters';
const trueWords = ['yes', 'true', 'on'];
const falseWords = ['no', 'false', 'off'];

function matchPath(path: string, template: string): string[] | undefined {
  const pathParts = path.split('/');
  const templateParts = template.split('/');
  if (pathParts.length !== templateParts.length) return undefined;
  const pathNames: string[] = [];
  const matches = templateParts.every((part, i) => {
    const text = pathParts[i] ?? '';
    const placeholder = /^\{\w+\}(.*)$/.exec(part);
    if (!placeholder) return part === text;
    const suffix = placeholder[1] ?? '';
    pathNames.push(text.slice(0, text.length - suffix.length));
    return text.endsWith(suffix);
  });
  return matches ? pathNames : undefined;
}

function convertValue(text: string, { type }: SettingsKey): unknown {
  if (type === 'boolean') {
    if (trueWords.includes(text.toLowerCase())) return true;
    return falseWords.includes(text.toLowerCase()) ? false : text;
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

function checkSection(options: { file: string; type: string; rawSection: RawSection }): {
  values?: Record<string, unknown>;
  problems: Problem[];
} {
  const { file, type, rawSection } = options;
  const keys = settingsSections[type] ?? {};
  const location = { file, ...(rawSection.name ? { section: rawSection.name } : {}) };
  const problems: Problem[] = [];
  rawSection.values.forEach(({ text, line }, key) => {
    if (Object.hasOwn(keys, key)) return;
    const expected = formatExpectedNames(key, Object.keys(keys));
    problems.push({ ...location, line, key, message: 'unknown key', got: text, expected });
  });
  const values: Record<string, unknown> = {};
  Object.entries(keys).forEach(([key, definition]) => {
    const rawValue = rawSection.values.get(key);
    if (rawValue) values[key] = convertValue(rawValue.text, definition);
    else if (definition.default !== undefined) values[key] = structuredClone(definition.default);
    else {
      const { expected } = definition;
      problems.push({
        ...location,
        line: rawSection.line,
        key,
        message: 'key is missing',
        expected,
      });
    }
  });
  const validate = (validators as unknown as Record<string, Validator>)[`validate${type}`];
  if (!validate) throw new Error(`no validator for settings section ${type}`);
  if (!validate(values)) {
    const invalidKeys = (validate.errors ?? []).map(
      ({ instancePath }) => instancePath.split('/')[1] ?? '',
    );
    [...new Set(invalidKeys)].forEach((key) => {
      const rawValue = rawSection.values.get(key);
      const definition = keys[key];
      if (!rawValue || !definition) return;
      const { text: got, line } = rawValue;
      const { expected } = definition;
      problems.push({ ...location, line, key, message: 'value is not valid', got, expected });
    });
  }
  return problems.length > 0 ? { problems } : { values, problems };
}

function findSectionType(name: string, { keys, sections }: SettingsFile): string | undefined {
  if (name === '') return keys;
  if (Object.hasOwn(sections, name)) return sections[name];
  const dot = name.indexOf('.');
  if (dot < 0 || !namePattern.test(name.slice(dot + 1))) return undefined;
  return sections[`${name.slice(0, dot)}.NAME`];
}

function describeUnknownSection(
  rawSection: RawSection,
  { sections }: SettingsFile,
): Omit<Problem, 'file'> {
  const known = Object.keys(sections);
  const location = { line: rawSection.line, section: rawSection.name };
  const [prefix, name] = rawSection.name.split(/\.(.*)/s);
  if (name !== undefined && known.includes(`${prefix}.NAME`)) {
    return {
      ...location,
      message: 'section name is not valid',
      got: name,
      expected: nameRequirement,
    };
  }
  // The name after the dot is ignored, so that [operatr.ana] suggests operator.NAME.
  const comparedName = name === undefined ? rawSection.name : `${prefix}.NAME`;
  return {
    ...location,
    message: 'unknown section',
    expected: formatExpectedNames(comparedName, known),
  };
}

function describeUnknownPath(path: string): Problem {
  const known = settingsFiles.filter(({ local }) => !local).map((file) => file.path);
  const closestPath = known.find((template) => {
    const folder = template.split('/')[0] ?? '';
    return folder === findNearestName(path.split('/')[0] ?? '', [folder]);
  });
  const suggestion = closestPath ? ` (did you mean ${closestPath}?)` : '';
  const expected = `one of ${known.join(', ')}${suggestion}`;
  return { file: path, message: 'unknown file', expected };
}

/**
 * Checks the text of one file and reports all its problems at once.
 *
 * @example
 * checkFile('teams/millers/team.ini', 'limit = 100\n').problems;
 */
export function checkFile(path: string, text: string): CheckedFile {
  const checked: CheckedFile = {
    template: '',
    pathNames: [],
    sections: {},
    sectionLines: {},
    problems: [],
  };
  const file = settingsFiles.find((candidate) => matchPath(path, candidate.path));
  if (!file) return { ...checked, problems: [describeUnknownPath(path)] };
  const pathNames = matchPath(path, file.path) ?? [];
  const problems: Problem[] = pathNames
    .filter((name) => !namePattern.test(name))
    .map((got) => ({ file: path, message: 'name in the path', got, expected: nameRequirement }));
  const parsed = parseSections(path, text);
  problems.push(...parsed.problems);
  const { sections, sectionLines } = checked;
  const presentNames = new Set(parsed.sections.map(({ name }) => name));
  // An omitted section still has defaults, and its required keys are still missing.
  const omitted = Object.keys(file.sections).filter(
    (name) => !name.endsWith('.NAME') && !presentNames.has(name),
  );
  const allSections = [
    ...parsed.sections,
    ...omitted.map((name) => ({ name, line: 1, values: new Map() })),
  ];
  allSections.forEach((rawSection) => {
    const type = findSectionType(rawSection.name, file);
    if (!type) {
      if (rawSection.name === '') {
        rawSection.values.forEach(({ line, text: got }, key) => {
          const expected = `a section before it: ${Object.keys(file.sections).join(', ')}`;
          problems.push({ file: path, line, key, message: 'key outside a section', got, expected });
        });
      } else problems.push({ file: path, ...describeUnknownSection(rawSection, file) });
      return;
    }
    const result = checkSection({ file: path, type, rawSection });
    problems.push(...result.problems);
    if (result.values) sections[rawSection.name] = result.values;
    sectionLines[rawSection.name] = rawSection.line;
  });
  return { template: file.path, pathNames, sections, sectionLines, problems };
}
