/**
 * Stand-ins for the platform's services on real sockets: table service, object store and host list.
 */
import type { Host } from '../hosts/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { Transaction } from '../schema/mod.ts';
import { makeTableState } from '../table/mod.ts';
import type { TableState } from '../table/mod.ts';
import { startServer } from './_server.ts';
import type { StandinRequest, StandinResponse, Standin, StandinOptions } from './_server.ts';

/** A running table service, with its state and request counts. */
export interface TableStandin extends Standin {
  state: TableState;
  counts: { reads: number; writes: number; conflicts: number };
}

function parseScanRange({ json }: StandinRequest): [string, { after?: string; limit?: number }] {
  const { prefix, after, limit } = json as { prefix: string; after?: string; limit?: number };
  return [prefix, { after, limit }];
}

/**
 * Starts a table service: `POST /read`, `/scan` and `/transact`, and `GET /_counts`.
 *
 * @example
 * const table = await startTable({ clock: systemClock, port: 7000 });
 */
export async function startTable(options: StandinOptions): Promise<TableStandin> {
  const state = makeTableState();
  const counts = { reads: 0, writes: 0, conflicts: 0 };
  const transact = (call: StandinRequest): StandinResponse => {
    const transaction = decode<Transaction>(validators.validateTransaction, call.json);
    if (transaction.isLeft()) return { status: 400, value: transaction.extract() };
    const result = state.transact(transaction.extract() as Transaction);
    if ('commit' in result) {
      counts.writes += 1;
      return { status: 200, value: result.commit };
    }
    counts.conflicts += 1;
    return { status: 409, value: { keys: result.conflicts } };
  };
  const handle = (call: StandinRequest): StandinResponse => {
    if (call.path === '/_counts') return { status: 200, value: counts };
    if (call.path === '/transact') return transact(call);
    counts.reads += 1;
    if (call.path === '/read') {
      return { status: 200, value: { rows: state.read(call.json.keys as string[]) } };
    }
    if (call.path === '/scan') {
      return { status: 200, value: { rows: state.scan(...parseScanRange(call)) } };
    }
    return { status: 404 };
  };
  return { ...(await startServer({ ...options, handle })), state, counts };
}

/**
 * Starts an object store: `PUT`, `GET` and `DELETE` of `/objects/{name}`.
 *
 * @example
 * const objects = await startObjects({ clock: systemClock });
 */
export async function startObjects(options: StandinOptions): Promise<Standin> {
  const objects = new Map<string, Buffer>();
  const handle = ({ method, path, body }: StandinRequest): StandinResponse => {
    if (method === 'PUT') objects.set(path, body);
    if (method === 'DELETE') objects.delete(path);
    if (method !== 'GET') return { status: 204 };
    const bytes = objects.get(path);
    return bytes ? { status: 200, bytes } : { status: 404 };
  };
  return startServer({ ...options, handle });
}

/**
 * Starts a host list: `GET /hosts`. `POST /_control` with `hosts` replaces the list after `lagMs`.
 *
 * @example
 * const hosts = await startHosts({ clock: systemClock, hosts: [] });
 */
export async function startHosts(options: StandinOptions & { hosts?: Host[] }): Promise<Standin> {
  const { clock } = options;
  let { hosts = [] } = options;
  const control = (fields: Record<string, unknown>) => {
    if (!Array.isArray(fields.hosts)) return;
    const nextHosts = fields.hosts as Host[];
    clock.sleep(Number(fields.lagMs ?? 0)).then(
      () => {
        hosts = nextHosts;
      },
      () => undefined,
    );
  };
  const handle = ({ path }: StandinRequest): StandinResponse =>
    path === '/hosts' ? { status: 200, value: { hosts } } : { status: 404 };
  return startServer({ ...options, handle, control });
}
