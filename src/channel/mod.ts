/**
 * Channels between processes: connections that carry any number of requests at a time.
 */
export * from './channel_client.ts';
export * from './channel_server.ts';
export { channelProtocol } from './_messages.ts';
