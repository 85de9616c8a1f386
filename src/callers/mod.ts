/**
 * The callers' HTTP interface: lookups and jobs of teams.
 *
 * The interface checks key, team and queue against the settings in force, and passes everything else
 * to {@link Dispatch}. It answers nothing while the process is not fresh.
 */
export * from './callers.ts';
