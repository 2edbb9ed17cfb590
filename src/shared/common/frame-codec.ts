/**
 * @file Length-prefixed frames on a byte stream: a 4-byte header, then a MessagePack payload of that length. The top bit of
 * the header marks a DEFLATE-compressed payload; an empty frame is a keep-alive. Compressed and inflated sizes are bounded.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';

const LENGTH_BYTES = 4;

/** Limit for a payload both on the wire and inflated; bounds memory if the peer sends anything but frames. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** Header bit of a frame with a compressed payload. */
const COMPRESSED_FLAG = 0x8000_0000;
/** Shorter payloads are sent uncompressed: compressing them costs more than it saves. */
const COMPRESSION_THRESHOLD_BYTES = 4_096;

const packr = new Packr({ useRecords: false });

/** An empty frame, sent to keep an idle link alive. */
export const keepAliveFrame: Uint8Array = Buffer.alloc(LENGTH_BYTES);

/**
 * @returns the frame of a message, compressed if that makes it shorter
 */
export function encodeFrame(message: object): Buffer {
  const content = packr.pack(message);
  if (content.length < COMPRESSION_THRESHOLD_BYTES) {
    return buildFrame(content, 0);
  }
  const compressed = deflateRawSync(content, { level: constants.Z_BEST_SPEED });
  return compressed.length < content.length
    ? buildFrame(compressed, COMPRESSED_FLAG)
    : buildFrame(content, 0);
}

function buildFrame(content: Uint8Array, flag: number): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE((content.length | flag) >>> 0, 0);
  frame.set(content, LENGTH_BYTES);
  return frame;
}

/** The messages of the frames completed by a chunk, or an error that ends the stream. */
export type DecodedFrames =
  | { readonly type: 'messages'; readonly messages: readonly unknown[] }
  /** The stream can't be decoded any further. */
  | { readonly type: 'malformed'; readonly reason: string };

/** Decodes a byte stream into messages. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** Bytes that must be buffered before the next frame can be decoded. */
  private neededBytes = LENGTH_BYTES;

  constructor(private readonly maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** True if part of a payload has been received, not only its header. */
  get isInsideFrame(): boolean {
    return this.bufferedBytes > LENGTH_BYTES;
  }

  /** Decodes the next chunk; `malformed` is final. */
  push(chunk: Buffer): DecodedFrames {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const messages: unknown[] = [];
    while (this.bufferedBytes >= this.neededBytes) {
      const bytes = this.joinChunks();
      const header = bytes.readUInt32BE(0);
      const isCompressed = header >= COMPRESSED_FLAG;
      const length = isCompressed ? header - COMPRESSED_FLAG : header;
      if (length > this.maxFrameBytes) {
        return { type: 'malformed', reason: `Frame of ${length} bytes exceeds the size limit.` };
      }
      const end = LENGTH_BYTES + length;
      if (bytes.length < end) {
        this.neededBytes = end;
        break;
      }
      this.retain(bytes.subarray(end));
      if (length > 0) {
        try {
          const content = bytes.subarray(LENGTH_BYTES, end);
          messages.push(packr.unpack(isCompressed ? this.inflate(content) : content));
        } catch {
          // The cause is omitted: the caller closes the link, and details of the invalid bytes don't help its operator.
          return { type: 'malformed', reason: 'Frame payload is not valid MessagePack.' };
        }
      }
    }
    return { type: 'messages', messages };
  }

  /** Throws if the payload is not valid DEFLATE data or inflates beyond the limit. */
  private inflate(content: Uint8Array): Buffer {
    return inflateRawSync(content, { maxOutputLength: this.maxFrameBytes });
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) {
      return first;
    }
    const bytes = Buffer.concat(this.chunks, this.bufferedBytes);
    this.chunks = [bytes];
    return bytes;
  }

  private retain(rest: Buffer): void {
    this.chunks = rest.length === 0 ? [] : [rest];
    this.bufferedBytes = rest.length;
    this.neededBytes = LENGTH_BYTES;
  }
}
