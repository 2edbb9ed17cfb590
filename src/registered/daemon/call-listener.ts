/**
 * @file Calls of back ends and operators to a control machine, over HTTP. Which request means which call is left to an
 * adapter: the product's own names (`declared-api.ts`), or those of a platform.
 *
 * What a caller gets back: 200 with JSON; the status of the error kind (`shared/common/error-kinds.ts`) with
 * `{"error": {kind, message}}`; and with 503 a `Retry-After`, since the same call may succeed at another machine or later.
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

/** The reply to an HTTP request. */
export interface HttpReply {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** The call that an HTTP request asks for, or its reply where there is nothing to call. */
export type TranslatedCall =
  | { readonly type: 'call'; readonly call: GroupCall }
  | {
      readonly type: 'reply';
      readonly reply: HttpReply;
      /** Why what a back end sent was refused, in one word of few; undefined for other calls. */
      readonly refusal?: string | undefined;
    };

/** Takes note of something of a back end that was refused. */
export type RecordRefusal = (refusal: RefusedEntry) => void;

/** Something of a back end that was refused. */
export interface RefusedEntry {
  /** One word of few, for counts. */
  readonly reason: string;
  readonly path: string;
}

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

/**
 * The largest call is a whole configuration. Not measured how large one gets; a refusal `The body is too large.` of a
 * configuration would show it too small. It bounds the memory of one call.
 */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/**
 * Tells callers when to try again, in whole seconds, the unit of the header. Where no leader is known, a new one is elected
 * within some 0.7 s (`group/timing.ts`), so a second later the call can be decided. Not measured; 503 answers that
 * repeat at the same caller would show it too short.
 */
const RETRY_AFTER_S = 1;
const UNAVAILABLE_STATUS = 503;

/**
 * @returns the listener of the HTTP server
 */
export function createCallListener(
  translate: TranslateCall,
  perform: PerformCall,
  recordRefusal: RecordRefusal,
): RequestListener {
  return (request, response) => {
    answerRequest(request, response).catch(() => {
      // Nearly always a caller that went away while its body was read, often under load: without a line, and the reply
      // reaches nobody. A fault of ours in a call shows as status 500 at the caller.
      respond(response, errorReply('internal', 'The call failed.'));
    });
  };

  async function answerRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    if (body === undefined) {
      respond(response, errorReply('invalid-command', 'The body is too large.'));
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

/**
 * @returns the reply that the table of errors gives for a kind
 */
function errorReply(kind: ErrorKind, message: string): HttpReply {
  const error = amberliftError(kind, message);
  return { status: answerFor(kind).httpStatus, body: JSON.stringify({ error }) };
}

/**
 * @param refusal why something of a back end is refused, in one word of few; undefined for other calls
 * @returns a refusal in place of a call
 */
export function refusedCall(kind: ErrorKind, message: string, refusal?: string): TranslatedCall {
  return { type: 'reply', reply: errorReply(kind, message), refusal };
}

/**
 * @returns a path part with its percent signs resolved, or undefined where it is empty, too long or broken
 */
export function decodePathPart(text: string, maxLength: number): string | undefined {
  try {
    const part = decodeURIComponent(text);
    return part.length > 0 && part.length <= maxLength ? part : undefined;
  } catch {
    // Percent signs that stand for no character: the caller of this function refuses the call with a reason of its own.
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
    // No schema accepts `undefined`, so the call is refused, with the reason that its schema gives.
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
        ? errorReply('not-found', 'There is no configuration yet.')
        : { status: 200, body: reply.document.text };
    case 'zones':
      return { status: 200, body: JSON.stringify({ zones: reply.zones }) };
    case 'unknown-zone':
      return errorReply('not-found', `The deployment has no zone ${reply.zone}.`);
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
