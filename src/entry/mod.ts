/**
 * One entry process: the module that wires its parts.
 */
export * from './core.ts';
export * from './entry.ts';
