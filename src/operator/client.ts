/**
 * A client of the HTTP interface for operators.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { request } from 'undici';

import type {
  SettingsChange,
  SettingsHistory,
  SettingsProposal,
  SettingsTree,
} from '../schema/mod.ts';
import { ExitCode } from './exit.ts';
import type { CommandFailure } from './exit.ts';

/** The result of a call to the server, or the failure. */
export type ServerResult<T> = Promise<Either<CommandFailure, T>>;

/** Calls the operator interface of one entry process with one operator key. */
export interface OperatorClient {
  get<T>(path: string): ServerResult<T>;
  delete<T>(path: string): ServerResult<T>;
  getSettings(): ServerResult<SettingsTree>;
  getHistory(limit: number): ServerResult<SettingsHistory>;
  proposeSettings(proposal: SettingsProposal): ServerResult<SettingsChange>;
}

interface ErrorBody {
  error?: { kind?: string; message?: string; ran?: string; got?: unknown; expected?: unknown };
}

const requestTimeoutMs = 15_000;

function describeError(error: unknown): string {
  if (error instanceof AggregateError && error.errors.length > 0)
    return describeError(error.errors[0]);
  return error instanceof Error ? error.message : String(error);
}

function parseFailure(status: number, text: string): CommandFailure {
  let body: ErrorBody = {};
  try {
    body = JSON.parse(text) as ErrorBody;
  } catch {
    // The response is not from an entry process; its text is shown as it is.
  }
  if (!body.error) {
    const message = `unexpected response ${status}, not from an entry process: ${text.slice(0, 200)}`;
    return { code: ExitCode.Refused, message };
  }
  const { kind, message = '', ran, got, expected } = body.error;
  // The message lists the faults of settings already; `got` repeats them in another form.
  const details = [
    got === undefined || kind === 'settings-invalid' ? '' : `got ${JSON.stringify(got)}`,
    expected === undefined ? '' : `expected ${String(expected)}`,
    ran === 'unknown' ? 'the request may have taken effect' : '',
  ].filter(Boolean);
  const fullMessage = [`${kind ?? 'failure'}: ${message}`, ...details].join('; ');
  return { code: ExitCode.Refused, message: fullMessage, kind };
}

/**
 * Makes a client of an operator interface.
 *
 * @example
 * const client = makeOperatorClient({ server: 'http://127.0.0.1:8081', key });
 * await client.getSettings();
 */
export function makeOperatorClient({
  server,
  key,
}: {
  server: string;
  key?: string;
}): OperatorClient {
  const callServer = async <T>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): ServerResult<T> => {
    if (!key) {
      const message =
        'an operator key is needed: --key KEY or the environment variable DOGWOOD_KEY';
      return Left({ code: ExitCode.InvalidInput, message });
    }
    let url: URL;
    try {
      url = new URL(path, server);
    } catch {
      return Left({
        code: ExitCode.InvalidInput,
        message: `--server ${server} is not an HTTP address`,
      });
    }
    try {
      const response = await request(url, {
        method,
        headers: { authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        // A command makes few calls; an idle keep-alive connection would only delay its exit.
        reset: true,
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs,
      });
      const text = await response.body.text();
      if (response.statusCode >= 400) return Left(parseFailure(response.statusCode, text));
      return Right(JSON.parse(text) as T);
    } catch (error) {
      const { code } = error as { code?: string };
      const mayHaveRun = method !== 'GET' && code !== 'ECONNREFUSED';
      const hint = mayHaveRun ? '; the request may have taken effect, see "dogwood history"' : '';
      const message = `no entry process answers at ${server}: ${describeError(error)}${hint}`;
      return Left({ code: ExitCode.Unreachable, message });
    }
  };
  return {
    get: (path) => callServer('GET', path),
    delete: (path) => callServer('DELETE', path),
    getSettings: () => callServer('GET', '/v1/settings'),
    getHistory: (limit) => callServer('GET', `/v1/settings/history?limit=${limit}`),
    proposeSettings: (proposal) => callServer('POST', '/v1/settings', proposal),
  };
}
