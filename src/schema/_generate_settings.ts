/**
 * Generates the module that lists settings files and keys, and the reference page, from
 * `settings.json`.
 */

/** The definition of a settings key in `settings.json`. */
export interface KeyDefinition {
  type: string;
  description: string;
  default?: unknown;
  unit?: string;
  expected?: string;
  minimum?: number;
  exclusiveMinimum?: number;
  maximum?: number;
  enum?: string[];
  pattern?: string;
}

interface SectionDefinition {
  description: string;
  properties: Record<string, KeyDefinition>;
}

/** The contents of `settings.json`; `files` is not part of JSON Schema. */
export interface SettingsDefinitions {
  files: {
    path: string;
    description: string;
    local?: boolean;
    keys?: string;
    sections: Record<string, string>;
  }[];
  $defs: Record<string, SectionDefinition>;
}

function formatDefault(value: unknown): string {
  if (value === undefined) return 'required';
  if (value === true) return '`yes`';
  if (value === false) return '`no`';
  if (Array.isArray(value)) return value.length > 0 ? `\`${value.join(', ')}\`` : 'empty';
  return value === '' ? 'empty' : `\`${String(value)}\``;
}

function formatRange({ minimum, exclusiveMinimum, maximum }: KeyDefinition): string {
  const lowerBound =
    exclusiveMinimum === undefined ? `from ${minimum ?? 0}` : `above ${exclusiveMinimum}`;
  return maximum === undefined ? lowerBound : `${lowerBound} to ${maximum}`;
}

/**
 * Describes in words the values that a key accepts.
 *
 * @example
 * describeKey({ type: 'integer', minimum: 1, description: '' }); // a whole number from 1
 */
export function describeKey(key: KeyDefinition): string {
  if (key.expected) return key.expected;
  if (key.enum) return `one of ${key.enum.join(', ')}`;
  if (key.type === 'boolean') return 'yes or no';
  if (key.type === 'integer') return `a whole number ${formatRange(key)}`;
  if (key.type === 'number') return `a number ${formatRange(key)}`;
  if (key.pattern) return 'a name of a-z, 0-9 and hyphens, at most 63 characters';
  return 'text';
}

function formatSection({ description, properties }: SectionDefinition): string {
  const rows = Object.entries(properties).map(
    ([name, key]) =>
      `| \`${name}\` | ${describeKey(key)} | ${key.unit ?? ''} | ${formatDefault(key.default)} | ${key.description} |`,
  );
  return [
    description,
    '',
    '| key | value | unit | default | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

/**
 * Generates the Markdown reference page of all settings files.
 *
 * @example
 * writeFileSync('docs/settings.md', generateSettingsPage(schema));
 */
export function generateSettingsPage({ files, $defs }: SettingsDefinitions): string {
  const formatNamedSection = (name: string) => {
    const definition = $defs[name];
    if (!definition) throw new Error(`section ${name} is not defined in settings.json`);
    return formatSection(definition);
  };
  const fileTexts = files.map(({ path, description, keys, sections }) =>
    [
      `## \`${path}\`\n`,
      ...(keys ? [formatNamedSection(keys)] : [`${description}\n`]),
      ...Object.entries(sections).map(
        ([name, type]) => `### \`[${name}]\`\n\n${formatNamedSection(type)}`,
      ),
    ].join('\n'),
  );
  return `# Settings reference

Generated from \`src/schema/settings.json\` by \`npm run generate\`.

Settings files are INI files. \`;\` and \`#\` begin a comment. A section or key may appear once. Unknown sections and
keys are errors. Names consist of a-z, 0-9 and hyphens. \`dogwood check DIR\` checks a tree without any process running.

${fileTexts.join('\n')}`
    .trimEnd()
    .concat('\n');
}

/**
 * Generates the TypeScript module that the settings reader imports.
 *
 * @example
 * writeFileSync('_generated/settings.ts', generateSettingsModule(schema));
 */
export function generateSettingsModule({ files, $defs }: SettingsDefinitions): string {
  const sections = Object.fromEntries(
    Object.entries($defs).map(([name, { properties }]) => [
      name,
      Object.fromEntries(
        Object.entries(properties).map(([key, definition]) => [
          key,
          {
            type: definition.type,
            expected: describeKey(definition),
            ...('default' in definition ? { default: definition.default } : {}),
          },
        ]),
      ),
    ]),
  );
  return `/* Generated from src/schema/settings.json by \`npm run generate\`. */

/** A key of a settings section. */
export interface SettingsKey {
  type: string;
  /** Which values it takes, in words. */
  expected: string;
  default?: unknown;
}

/** A kind of settings file; \`keys\` and \`sections\` name entries of {@link settingsSections}. */
export interface SettingsFile {
  path: string;
  /** Not part of the tree that all processes share. */
  local?: boolean;
  keys?: string;
  sections: Record<string, string>;
}

export const settingsFiles: SettingsFile[] = ${JSON.stringify(
    files.map(({ description, ...file }) => file),
    null,
    2,
  )};

export const settingsSections: Record<string, Record<string, SettingsKey>> = ${JSON.stringify(sections, null, 2)};
`;
}
