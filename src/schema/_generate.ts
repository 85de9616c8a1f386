/**
 * Generates types and validators from the JSON Schemas of this folder into `_generated/`.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { Ajv } from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import { compile } from 'json-schema-to-typescript';

const folder = path.dirname(fileURLToPath(import.meta.url));
const names = ['messages', 'records'] as const;

interface Definitions {
  $id: string;
  $defs: Record<string, Record<string, unknown>>;
}

function load(name: string): Definitions {
  return JSON.parse(readFileSync(path.join(folder, `${name}.json`), 'utf8')) as Definitions;
}

function inline(text: string): string {
  return text.replaceAll(/"(?:messages|records)?#\/\$defs\/(\w+)"/g, '"#/$defs/$1"');
}

async function generateTypes(schemas: Definitions[]): Promise<string> {
  const all = Object.assign({}, ...schemas.map((schema) => schema.$defs)) as Definitions['$defs'];
  const merged = JSON.parse(inline(JSON.stringify({ $defs: all }))) as Definitions;
  const root = {
    title: 'Everything',
    type: 'object',
    additionalProperties: false,
    properties: Object.fromEntries(
      Object.keys(all).map((name) => [name, { $ref: `#/$defs/${name}` }]),
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

function generateValidators(schemas: Definitions[]): string {
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
  return `// @ts-nocheck\n/* Generated from src/schema/*.json by \`npm run generate\`. */\n${code}\n`;
}

const schemas = names.map(load);
writeFileSync(path.join(folder, '_generated/types.ts'), await generateTypes(schemas));
writeFileSync(path.join(folder, '_generated/validators.ts'), generateValidators(schemas));
