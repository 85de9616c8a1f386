/**
 * Tasks that own their state and receive messages through a mailbox.
 */
export * from './mailbox.ts';
