/**
 * @file The HTTP server for calls of back ends and operators to a control machine. Which request means
 * which call is left to an adapter: the product's own names, or those of a platform.
 */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  RequestListener,
  ServerResponse,
} from 'node:http';
import { amberliftError, answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import type { GroupReply } from '../group/group-events.js';
import type { GroupCall } from './group-process.js';

/** An answer to an HTTP request. */
export interface HttpAnswer {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** The call that an HTTP request asks for, or its answer where there is nothing to ask. */
export type TranslatedCall =
  | { readonly type: 'call'; readonly call: GroupCall }
  | { readonly type: 'answer'; readonly answer: HttpAnswer };

/** Brings a call into the group. */
export type PerformCall = (call: GroupCall) => Promise<GroupReply>;

/** Finds the call that a request asks for; never throws. */
export type TranslateCall = (request: CallRequest) => TranslatedCall;

/** What a translation looks at. */
export interface CallRequest {
  readonly method: string;
  /** Path without its query. */
  readonly path: string;
  readonly body: string;
  /** The token of an `Authorization: Bearer` header; empty without one. */
  readonly bearerToken: string;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const RETRY_AFTER_S = 1;

/**
 * @returns the listener of the HTTP server
 */
export function createCallListener(
  translate: TranslateCall,
  perform: PerformCall,
): RequestListener {
  return (request, response) => {
    answerRequest(request, response).catch(() => {
      respond(response, errorAnswer('internal', 'The call failed.'));
    });
  };

  async function answerRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    if (body === undefined) {
      respond(response, errorAnswer('invalid-command', 'The body is too large.'));
      return;
    }
    const translated = translate(callRequestOf(request, body));
    switch (translated.type) {
      case 'answer':
        respond(response, translated.answer);
        return;
      case 'call':
        respond(response, answerOf(await perform(translated.call)));
        return;
    }
  }
}

/**
 * @returns the answer that the table of errors gives for a kind
 */
function errorAnswer(kind: ErrorKind, message: string): HttpAnswer {
  const error = amberliftError(kind, message);
  return { status: answerFor(kind).httpStatus, body: JSON.stringify({ error }) };
}

/**
 * @returns an answer in place of a call
 */
export function refusedCall(kind: ErrorKind, message: string): TranslatedCall {
  return { type: 'answer', answer: errorAnswer(kind, message) };
}

/**
 * @returns a path part with its percent signs resolved, or undefined where it is empty, too long or broken
 */
export function decodePathPart(text: string, maxLength: number): string | undefined {
  try {
    const part = decodeURIComponent(text);
    return part.length > 0 && part.length <= maxLength ? part : undefined;
  } catch {
    return undefined;
  }
}

/**
 * @returns the value of JSON text, or undefined where it is none
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function callRequestOf({ method, url, headers }: IncomingMessage, body: string): CallRequest {
  const path = (url ?? '').split('?')[0] ?? '';
  const bearerToken = /^Bearer (.+)$/.exec(headers.authorization ?? '')?.[1] ?? '';
  return { method: method ?? '', path, body, bearerToken };
}

function answerOf(reply: GroupReply): HttpAnswer {
  switch (reply.type) {
    case 'accepted':
      return { status: 200, body: '{}' };
    case 'config':
      return reply.document === undefined
        ? errorAnswer('not-found', 'There is no configuration yet.')
        : { status: 200, body: reply.document.text };
    case 'zones':
      return { status: 200, body: JSON.stringify({ zones: reply.zones }) };
    case 'unknown-zone':
      return errorAnswer('not-found', `The deployment has no zone ${reply.zone}.`);
    case 'unavailable':
      return errorAnswer('no-quorum', reply.reason);
  }
}

function respond(response: ServerResponse, { status, body }: HttpAnswer): void {
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (status === 503) {
    headers['retry-after'] = String(RETRY_AFTER_S);
  }
  response.writeHead(status, headers);
  response.end(body);
}

/** @returns the body, or undefined where it is too long */
async function readText(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAX_BODY_BYTES) {
      return undefined;
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}
