/**
 * The settings tree: files, checks, versions and the settings in force.
 */
export * from './fleet.ts';
export * from './settings.ts';
