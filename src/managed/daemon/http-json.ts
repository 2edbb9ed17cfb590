/**
 * @file Small helpers for HTTP with JSON bodies.
 */
import { request, type IncomingMessage } from 'node:http';
import { request as requestOverTls } from 'node:https';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** Longest body that is read; a longer one is refused. */
const MAX_BODY_BYTES = 1024 * 1024;

/** One HTTP request that this process sends. */
export interface JsonRequest {
  readonly to: Address;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly bearerToken?: string | undefined;
  readonly timeoutMs: number;
  /** Certificate of the authority that signed the server's (PEM); with it TLS is used. */
  readonly ca?: string | undefined;
}

/** Its answer. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Sends a request.
 * @returns the answer, or `peer-unreachable` where none came in time or it was no JSON
 */
export function sendJson(options: JsonRequest): ResultAsync<JsonResponse, AmberliftError> {
  return ResultAsync.fromPromise(exchange(options), (cause) =>
    amberliftError('peer-unreachable', String(cause)),
  );
}

function exchange(options: JsonRequest): Promise<JsonResponse> {
  return new Promise((resolve, reject) => {
    const { ca } = options;
    const requestOptions = {
      host: options.to.host,
      port: options.to.port,
      method: options.method,
      path: options.path,
      timeout: options.timeoutMs,
      headers: {
        'content-type': 'application/json',
        ...(options.bearerToken && { authorization: `Bearer ${options.bearerToken}` }),
      },
    };
    const outgoing =
      ca === undefined ? request(requestOptions) : requestOverTls({ ...requestOptions, ca });
    outgoing.on('timeout', () => outgoing.destroy(new Error('No answer in time.')));
    outgoing.on('error', reject);
    outgoing.on('response', (incoming) => {
      readBody(incoming).then((result) => {
        result.match(
          (body) => resolve({ status: incoming.statusCode ?? 0, body }),
          (error) => reject(new Error(error.message)),
        );
      }, reject);
    });
    outgoing.end(options.body === undefined ? undefined : JSON.stringify(options.body));
  });
}

/**
 * Reads a JSON body.
 * @returns its value, undefined for an empty body, or `invalid-command`
 */
export async function readBody(
  incoming: IncomingMessage,
): Promise<Result<unknown, AmberliftError>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAX_BODY_BYTES) {
      return err(amberliftError('invalid-command', 'The body is too long.'));
    }
    chunks.push(bytes);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  try {
    return ok(text === '' ? undefined : (JSON.parse(text) as unknown));
  } catch {
    // JSON.parse throws for a body that is no JSON; its text may hold a secret, so it isn't repeated.
    return err(amberliftError('invalid-command', 'The body is no JSON.'));
  }
}
