/**
 * @file HTTP listener for calls of back ends and operators to a control machine. An adapter maps requests to
 * calls: `declared-api.ts`, or the API of a platform.
 *
 * Responses are JSON: 200 with the result, or the status of the error kind (`shared/common/error-kinds.ts`) with
 * `{"error": {kind, message}}`. A 503 carries `Retry-After`, since a retry may succeed here or at another machine.
 */
import { isUtf8 } from 'node:buffer';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  RequestListener,
  ServerResponse,
} from 'node:http';
import { amberliftError, answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import { MAX_DOCUMENT_BYTES } from '../group/entry-schemas.js';
import type { GroupReply } from '../group/group-events.js';
import type { ConfigDocument } from '../group/replicated-state.js';
import type { GroupCall } from './group-process.js';

/** Response to an HTTP request. */
export interface HttpReply {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** The call that an HTTP request maps to, or an immediate reply. */
export type TranslatedCall =
  | { readonly type: 'call'; readonly call: GroupCall }
  | {
      readonly type: 'reply';
      readonly reply: HttpReply;
      /** Reason for refusing a request of a back end, from a small fixed set; undefined for other requests. */
      readonly refusal?: string | undefined;
    };

/** Records a refused request of a back end. */
export type RecordRefusal = (refusal: RefusedRequest) => void;

/** A request of a back end that was refused. */
export interface RefusedRequest {
  /** From a small fixed set; a label of the metric. */
  readonly reason: string;
  readonly path: string;
}

/** Performs a call in the group. */
export type PerformCall = (call: GroupCall) => Promise<GroupReply>;

/** Maps a request to a call; never throws. */
export type TranslateCall = (request: CallRequest) => TranslatedCall;

/** The parts of an HTTP request that a translation reads. */
export interface CallRequest {
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  readonly body: string;
  /** Token of the `Authorization: Bearer` header; empty without one. */
  readonly bearerToken: string;
}

/** Bounds the memory of one call; the largest calls carry a whole configuration. */
const MAX_BODY_BYTES = MAX_DOCUMENT_BYTES;
/** Characters of the reason in a refusal, which may quote names of any length. */
const MAX_REASON_LENGTH = 1_000;
/** Stands for a body that is not UTF-8; not valid JSON, so each call that reads its body is refused. */
const UNREADABLE_BODY = '\ufffd';
/** Whole seconds, as the header requires; longer than an election. */
const RETRY_AFTER_S = 1;
const UNAVAILABLE_STATUS = 503;

/** @returns the request listener for the HTTP server */
export function createCallListener(
  translate: TranslateCall,
  perform: PerformCall,
  recordRefusal: RecordRefusal,
): RequestListener {
  return (request, response) => {
    answerRequest(request, response).catch(() => {
      // Usually a client that disconnected while its body was read, so nothing is logged. An internal error still
      // reaches the caller as status 500.
      respond(response, errorReply('internal', 'Internal error while processing the request'));
    });
  };

  async function answerRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) {
      respond(response, errorReply('invalid-command', 'HTTP body is too large'));
      return;
    }
    const callRequest = callRequestOf(request, body);
    const translated = translate(callRequest);
    switch (translated.type) {
      case 'reply':
        if (translated.refusal !== undefined) {
          recordRefusal({ reason: translated.refusal, path: callRequest.path });
        }
        respond(response, translated.reply);
        return;
      case 'call':
        respond(response, replyOf(await perform(translated.call)));
        return;
    }
  }
}

/** @returns the response with the HTTP status of an error kind */
function errorReply(kind: ErrorKind, message: string): HttpReply {
  const error = amberliftError(kind, message.slice(0, MAX_REASON_LENGTH));
  return { status: answerFor(kind).httpStatus, body: JSON.stringify({ error }) };
}

/**
 * @param refusal reason for refusing a request of a back end, from a small fixed set; undefined for other requests
 * @returns an error reply in place of a call
 */
export function refusedCall(kind: ErrorKind, message: string, refusal?: string): TranslatedCall {
  return { type: 'reply', reply: errorReply(kind, message), refusal };
}

/** @returns the call that declares a configuration, or the refusal of one that the log can't hold */
export function configCallOf(document: ConfigDocument): TranslatedCall {
  const bytes = Buffer.byteLength(document.text);
  return bytes > MAX_DOCUMENT_BYTES
    ? refusedCall(
        'invalid-command',
        `The configuration takes ${bytes} bytes; the limit is ${MAX_DOCUMENT_BYTES}`,
      )
    : { type: 'call', call: { type: 'declare-config', document } };
}

/** @returns the percent-decoded path segment, or undefined if it is empty or malformed */
export function decodePathPart(text: string): string | undefined {
  try {
    const part = decodeURIComponent(text);
    return part.length > 0 ? part : undefined;
  } catch {
    // Malformed percent-encoding: the caller refuses the request with its own reason.
    return undefined;
  }
}

/** @returns the parsed value, or undefined if the text is not valid JSON */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // No schema accepts undefined, so validation rejects it.
    return undefined;
  }
}

function callRequestOf({ method, url, headers }: IncomingMessage, body: string): CallRequest {
  const path = (url ?? '').split('?')[0] ?? '';
  const bearerToken = /^Bearer (.+)$/.exec(headers.authorization ?? '')?.[1] ?? '';
  return { method: method ?? '', path, body, bearerToken };
}

function replyOf(reply: GroupReply): HttpReply {
  switch (reply.type) {
    case 'accepted':
      return { status: 200, body: '{}' };
    case 'config':
      return reply.document === undefined
        ? errorReply('not-found', 'No configuration has been declared yet')
        : { status: 200, body: reply.document.text };
    case 'zones':
      return { status: 200, body: JSON.stringify({ zones: reply.zones }) };
    case 'unknown-zone':
      return errorReply('not-found', `Unknown zone ${reply.zone}`);
    case 'unavailable':
      return errorReply('no-quorum', reply.reason);
  }
}

function respond(response: ServerResponse, { status, body }: HttpReply): void {
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (status === UNAVAILABLE_STATUS) {
    headers['retry-after'] = String(RETRY_AFTER_S);
  }
  response.writeHead(status, headers);
  response.end(body);
}

/** @returns the body, `UNREADABLE_BODY` if it is not UTF-8, or undefined if it exceeds the size limit */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
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
  const bytes = Buffer.concat(chunks);
  return isUtf8(bytes) ? bytes.toString('utf8') : UNREADABLE_BODY;
}
