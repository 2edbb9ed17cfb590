/**
 * @file Frames on a stream: four bytes of length, then that many bytes of MessagePack, which are compressed
 * where the first bit says so. A frame without content is a pulse. Length and nothing else is believed
 * before a frame is whole, and it is bounded, as is what it is inflated to.
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';

const LENGTH_BYTES = 4;

/**
 * The longest frame that is accepted, in bytes, also once inflated; it bounds memory against what is no frame at all.
 * Not measured; links closed with `A frame of N bytes is too long.` would show it too small.
 */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** Set in the length of a frame whose content is compressed. */
const COMPRESSED_FLAG = 0x8000_0000;
/**
 * Shorter content is sent as it is, in bytes: most messages are short, and compressing them costs more than it saves. Where
 * the two meet is not measured.
 */
const COMPRESS_FROM_BYTES = 4_096;

const packr = new Packr({ useRecords: false });

/** A frame without content. */
export const pulseFrame: Uint8Array = Buffer.alloc(LENGTH_BYTES);

/**
 * @returns the frame of a message
 */
export function encodeFrame(message: object): Buffer {
  const content = packr.pack(message);
  if (content.length < COMPRESS_FROM_BYTES) {
    return frameOf(content, 0);
  }
  const compressed = deflateRawSync(content, { level: constants.Z_BEST_SPEED });
  return compressed.length < content.length
    ? frameOf(compressed, COMPRESSED_FLAG)
    : frameOf(content, 0);
}

function frameOf(content: Uint8Array, flag: number): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE((content.length | flag) >>> 0, 0);
  frame.set(content, LENGTH_BYTES);
  return frame;
}

/** What came out of a stream. */
export type DecodedFrames =
  | { readonly type: 'messages'; readonly messages: readonly unknown[] }
  /** The stream can not be read on. */
  | { readonly type: 'malformed'; readonly reason: string };

/** Splits a stream into messages. */
export class FrameDecoder {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  /** How many bytes are needed before anything can be done. */
  private neededBytes = LENGTH_BYTES;

  constructor(private readonly maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** True where some of a frame has come, beyond its length. */
  get isInsideFrame(): boolean {
    return this.waitingBytes > LENGTH_BYTES;
  }

  /** Adds the next bytes; `malformed` is final. */
  push(chunk: Buffer): DecodedFrames {
    this.waiting.push(chunk);
    this.waitingBytes += chunk.length;
    const messages: unknown[] = [];
    while (this.waitingBytes >= this.neededBytes) {
      const bytes = this.joined();
      const head = bytes.readUInt32BE(0);
      const isCompressed = head >= COMPRESSED_FLAG;
      const length = isCompressed ? head - COMPRESSED_FLAG : head;
      if (length > this.maxFrameBytes) {
        return { type: 'malformed', reason: `A frame of ${length} bytes is too long.` };
      }
      const end = LENGTH_BYTES + length;
      if (bytes.length < end) {
        this.neededBytes = end;
        break;
      }
      this.keep(bytes.subarray(end));
      if (length > 0) {
        try {
          const content = bytes.subarray(LENGTH_BYTES, end);
          messages.push(packr.unpack(isCompressed ? this.inflate(content) : content));
        } catch {
          // The cause is of no use to the reader of the log: the bytes come from another process, whose link is closed with
          // this reason.
          return { type: 'malformed', reason: 'A frame is no MessagePack.' };
        }
      }
    }
    return { type: 'messages', messages };
  }

  /** Throws where the content is not compressed, or is too long. */
  private inflate(content: Uint8Array): Buffer {
    return inflateRawSync(content, { maxOutputLength: this.maxFrameBytes });
  }

  private joined(): Buffer {
    const [first] = this.waiting;
    if (this.waiting.length === 1 && first !== undefined) {
      return first;
    }
    const bytes = Buffer.concat(this.waiting, this.waitingBytes);
    this.waiting = [bytes];
    return bytes;
  }

  private keep(rest: Buffer): void {
    this.waiting = rest.length === 0 ? [] : [rest];
    this.waitingBytes = rest.length;
    this.neededBytes = LENGTH_BYTES;
  }
}
