/**
 * The operator command `dogwood`: checks settings trees and analyses logs offline, and reads and
 * changes the settings and jobs of a running fleet over the HTTP interface for operators.
 */
export * from './command.ts';
export * from './exit.ts';
