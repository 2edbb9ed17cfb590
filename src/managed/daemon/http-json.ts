/**
 * @file HTTP requests with JSON bodies, and reading of JSON bodies.
 */
import { request, type IncomingMessage } from 'node:http';
import { request as httpsRequest } from 'node:https';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

const MAX_BODY_BYTES = 1024 * 1024;

/** An outgoing HTTP request. */
export interface JsonRequest {
  readonly to: Address;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly bearerToken?: string | undefined;
  readonly timeoutMs: number;
  /** CA certificate (PEM) that the server certificate is verified against; enables TLS. */
  readonly ca?: string | undefined;
}

/** The response to a `JsonRequest`. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Sends a request.
 * @returns the response, or `peer-unreachable` if the request failed, timed out or the body is not valid JSON
 */
export function sendJson(options: JsonRequest): ResultAsync<JsonResponse, AmberliftError> {
  return ResultAsync.fromPromise(sendRequest(options), (cause) =>
    amberliftError('peer-unreachable', String(cause)),
  );
}

function sendRequest(options: JsonRequest): Promise<JsonResponse> {
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
      ca === undefined ? request(requestOptions) : httpsRequest({ ...requestOptions, ca });
    outgoing.on('timeout', () => outgoing.destroy(new Error('Request timed out')));
    outgoing.on('error', reject);
    outgoing.on('response', (incoming) => {
      readJsonBody(incoming).then((result) => {
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
 * @returns the parsed value, undefined for an empty body, or `invalid-command`
 */
export async function readJsonBody(
  incoming: IncomingMessage,
): Promise<Result<unknown, AmberliftError>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAX_BODY_BYTES) {
      return err(amberliftError('invalid-command', 'HTTP body is too large'));
    }
    chunks.push(bytes);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  try {
    return ok(text === '' ? undefined : (JSON.parse(text) as unknown));
  } catch {
    // The message of the SyntaxError may quote a secret from the body, so it is not passed on.
    return err(amberliftError('invalid-command', 'HTTP body is not valid JSON'));
  }
}
