/**
 * @file Answers with JSON bodies; free of the HTTP module of the runtime, which costs time at the start.
 */
import type { ServerResponse } from 'node:http';

/**
 * Answers with JSON.
 */
export function respondJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
