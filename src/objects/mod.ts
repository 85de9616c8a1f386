/**
 * The platform's object store.
 */
export * from './objects.ts';
