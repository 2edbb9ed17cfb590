/**
 * @file Decodes opens from callers and replies to opens from back ends.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { decodeEnvelope, type Envelope } from '../flow/envelope.js';
import { FLOW_ID_LENGTH_BYTES, hasLongHeader, parseLongHeader } from '../flow/header.js';
import { decodeMessage, type Message, type OpenMessage } from '../flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../flow/token.js';

interface ParsedOpen {
  readonly flowId: Uint8Array;
  readonly message: OpenMessage;
}

/** A back end's reply to an open. */
interface OpenReply {
  readonly envelope: Envelope;
  readonly flowId: Uint8Array;
  readonly token: Uint8Array;
  readonly message: Message;
}

/**
 * @param packet a long-header packet from a caller
 * @returns the open, or `malformed-datagram` / `unsupported-version`
 */
export function parseOpen(packet: Uint8Array): Result<ParsedOpen, AmberliftError> {
  return parseLongHeader(packet).andThen(({ sourceId, body }) => {
    if (sourceId.length !== FLOW_ID_LENGTH_BYTES) {
      return err(amberliftError('malformed-datagram', 'Flow ID has an invalid length.'));
    }
    return decodeMessage(body).andThen((message) =>
      message.type === 'open'
        ? ok({ flowId: sourceId, message })
        : err(
            amberliftError(
              'malformed-datagram',
              'Long-header packet from a caller is not an open.',
            ),
          ),
    );
  });
}

/**
 * @param datagram a datagram from a back end
 * @returns the reply, or `malformed-datagram` / `unsupported-version`
 */
export function parseOpenReply(datagram: Uint8Array): Result<OpenReply, AmberliftError> {
  return decodeEnvelope(datagram).andThen((envelope) => {
    if (!hasLongHeader(envelope.packet)) {
      return err(amberliftError('malformed-datagram', 'Reply to an open has a short header.'));
    }
    return parseLongHeader(envelope.packet).andThen(({ destinationId, sourceId, body }) =>
      sourceId.length === TOKEN_LENGTH_BYTES
        ? decodeMessage(body).map((message) => ({
            envelope,
            flowId: destinationId,
            token: sourceId,
            message,
          }))
        : err(
            amberliftError(
              'malformed-datagram',
              'Source ID of a reply to an open is not a routing token.',
            ),
          ),
    );
  });
}
