/**
 * Generates types, validators and the settings module in `_generated/` from the JSON Schemas of this
 * folder, and the settings reference page in `docs/`.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { Ajv } from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import { compile } from 'json-schema-to-typescript';

import { generateSettingsModule, generateSettingsPage } from './_generate_settings.ts';
import type { SettingsDefinitions } from './_generate_settings.ts';

const folder = path.dirname(fileURLToPath(import.meta.url));
const schemaNames = ['messages', 'records', 'settings'] as const;

interface SchemaFile {
  $id: string;
  $defs: Record<string, Record<string, unknown>>;
}

function loadSchema(name: string): SchemaFile {
  return JSON.parse(readFileSync(path.join(folder, `${name}.json`), 'utf8')) as SchemaFile;
}

/** Rewrites references between the schemas to references within one merged schema. */
function makeReferencesLocal(text: string): string {
  return text.replaceAll(/"(?:messages|records|settings)?#\/\$defs\/(\w+)"/g, '"#/$defs/$1"');
}

async function generateTypes(schemas: SchemaFile[]): Promise<string> {
  const definitions = Object.assign(
    {},
    ...schemas.map((schema) => schema.$defs),
  ) as SchemaFile['$defs'];
  const merged = JSON.parse(
    makeReferencesLocal(JSON.stringify({ $defs: definitions })),
  ) as SchemaFile;
  const root = {
    title: 'Everything',
    type: 'object',
    additionalProperties: false,
    properties: Object.fromEntries(
      Object.keys(definitions).map((name) => [name, { $ref: `#/$defs/${name}` }]),
    ),
    $defs: merged.$defs,
  };
  const text = await compile(root as Parameters<typeof compile>[0], 'Everything', {
    bannerComment: '/* Generated from src/schema/*.json by `npm run generate`. */',
    unknownAny: true,
    strictIndexSignatures: false,
    style: { singleQuote: true, printWidth: 100 },
  });
  return text.replace(/export interface Everything \{[\s\S]*?\n\}\n/, '');
}

function generateValidators(schemas: SchemaFile[]): string {
  const ajv = new Ajv({
    code: { source: true, esm: true },
    allErrors: true,
    strict: false,
    schemas,
  });
  const references = Object.fromEntries(
    schemas.flatMap(({ $id, $defs }) =>
      Object.keys($defs).map((name) => [`validate${name}`, `${$id}#/$defs/${name}`]),
    ),
  );
  const code = (standalone as unknown as (ajv: Ajv, refs: Record<string, string>) => string)(
    ajv,
    references,
  );
  const imports: string[] = [];
  // ajv emits `require` for its helpers even when it generates an ES module.
  const moduleCode = code.replaceAll(
    /const (\w+) = require\("([^"]+)"\)\.default;/g,
    (_, name: string, from: string) => {
      imports.push(`import ${name}Module from '${from}.js';`);
      return `const ${name} = ${name}Module.default ?? ${name}Module;`;
    },
  );
  // One validator per line, so that merging two schema changes does not always conflict.
  const formattedCode = moduleCode.replaceAll('export const validate', '\nexport const validate');
  return `// @ts-nocheck\n/* Generated from src/schema/*.json by \`npm run generate\`. */\n${imports.join('\n')}\n${formattedCode}\n`;
}

const schemas = schemaNames.map(loadSchema);
writeFileSync(path.join(folder, '_generated/types.ts'), await generateTypes(schemas));
writeFileSync(path.join(folder, '_generated/validators.ts'), generateValidators(schemas));

const settings = JSON.parse(
  readFileSync(path.join(folder, 'settings.json'), 'utf8'),
) as SettingsDefinitions;
writeFileSync(path.join(folder, '_generated/settings.ts'), generateSettingsModule(settings));
writeFileSync(path.join(folder, '../../docs/settings.md'), generateSettingsPage(settings));
