/**
 * An entry process on the users' platform: the module that wires the parts.
 */
export * from './host.ts';
export * from './host_metrics.ts';
