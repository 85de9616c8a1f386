/**
 * The settings tree: reading, validating, comparing and committing its files, and the settings that
 * a process currently uses.
 */
export * from './commit.ts';
export * from './diff.ts';
export * from './entry_settings.ts';
export * from './fleet.ts';
export * from './make_settings.ts';
export * from './problem.ts';
export * from './settings.ts';
export * from './tree.ts';
export { readTreeFolder } from './_files.ts';
