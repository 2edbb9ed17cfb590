/**
 * @file JSON responses. Imports only types from `node:http`, since loading that module slows down the start.
 */
import type { ServerResponse } from 'node:http';

/**
 * Sends a response with a JSON body and ends it.
 */
export function respondJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
