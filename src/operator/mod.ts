/**
 * The operator command `dogwood`: checks settings trees without any process, and reads and changes
 * the settings and jobs of a running fleet over the operators' HTTP interface.
 */
export * from './command.ts';
export * from './exit.ts';
