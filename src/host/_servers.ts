/**
 * The servers of an entry process: for clients, for the platform's readiness checks, and for the other
 * entry processes.
 */
import { listen } from '../front/mod.ts';
import type { HttpRequest, HttpResponse, HttpServer } from '../front/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { defaultMaxBodyBytes, readinessPath } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { servePeers } from './peer_server.ts';
import type { PeerService } from './peer_server.ts';

/** What the servers need. */
export interface ServerOptions {
  settings: ProcessSettings;
  /** Number of ports for the other entry processes. */
  peerPorts: number;
  log: Logger;
  onError(error: unknown): void;
  /** Longest body of a client's request, in bytes; undefined while no configuration is known. */
  maxCallerBodyBytes(): number | undefined;
  handleCaller(request: HttpRequest): Promise<HttpResponse>;
  isReady(): boolean;
  peerService: PeerService;
}

const maxReadinessBodyBytes = 1_024;

/**
 * Starts the servers; the first one is that for clients.
 *
 * @example
 * const [callers, ...others] = await startServers(options);
 */
export async function startServers(options: ServerOptions): Promise<HttpServer[]> {
  const { settings, peerPorts, log, onError, isReady, peerService } = options;

  function handleReadiness({ path }: HttpRequest): HttpResponse {
    if (path !== readinessPath) return { status: 404, body: '{}' };
    return { status: isReady() ? 200 : 503, body: '{}' };
  }

  const [callers, readiness, peerServers] = await Promise.all([
    listen({
      address: settings.listen.callers,
      maxBodyBytes: () => options.maxCallerBodyBytes() ?? defaultMaxBodyBytes,
      handle: options.handleCaller,
      onError,
    }),
    listen({
      address: settings.listen.readiness,
      maxBodyBytes: () => maxReadinessBodyBytes,
      handle: handleReadiness,
      onError,
    }),
    servePeers(peerService, {
      address: `${settings.ip}:${settings.peerPort}`,
      ports: peerPorts,
      log,
      onError,
    }),
  ]);
  return [callers, readiness, ...peerServers];
}
