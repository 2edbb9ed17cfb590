/** @file Guards packets and their routing tokens against changes: flows outlive the balancer that placed them. */
import t from 'tap';
import { packetForBackend, platformPacketCodec } from '../../platform/packet-codec.js';
import { instanceNumberOf } from '../../platform/control-api.js';
import { plainTokenOf, tokenOf } from '../../src/registered/registry/backend-token.js';
import {
  decodePacket,
  encodePacket,
  sealPacket,
  tokenPacketCodec,
  type PacketKind,
} from '../../src/registered/ingress/token-packet.js';
import { hexOf, keptBytes, testFrozenForms } from './frozen-forms.js';

const KINDS: readonly PacketKind[] = ['open', 'accept', 'data', 'acknowledge', 'finish', 'reset'];
const INSTANCE = '00000000000000a1';
const instanceBytes = Buffer.from(INSTANCE, 'hex');
const PLATFORM_OPEN = Buffer.from(
  '0000a1b2c3d511223344000000001000000000c61200019c416440000701bb',
  'hex',
);

function packetOf(kind: PacketKind) {
  return sealPacket({
    kind,
    from: { host: '100.64.0.7', port: 40_001 },
    to: { host: '198.18.0.1', port: 443 },
    token: 77,
    copyNumber: 1,
    acceptNumber: 5,
    requestId: 9,
    sequence: 5,
    acknowledged: 3,
    dataLength: 12,
  });
}

const starts = ['b-1', 'b-1#1790000000123', 'b-1#1790000000124'];
const platformCodec = platformPacketCodec(40_001);
const platformView = platformCodec.read(PLATFORM_OPEN);
const openView = tokenPacketCodec.read(encodePacket(packetOf('open')));

testFrozenForms('packets', {
  ...Object.fromEntries(KINDS.map((kind) => [kind, hexOf(encodePacket(packetOf(kind)))])),
  'open for a back end': hexOf(
    tokenPacketCodec.toBackend(encodePacket(packetOf('open')), instanceBytes, 99),
  ),
  'reset for an open': openView && hexOf(tokenPacketCodec.resetFor(openView)),
  'platform open, as it is read': platformView,
  'platform open for a back end': hexOf(packetForBackend(PLATFORM_OPEN, instanceBytes, 99)),
  'platform reset for an open': platformView && hexOf(platformCodec.resetFor(platformView)),
});
testFrozenForms('tokens', {
  ...Object.fromEntries(starts.map((id) => [id, tokenOf({ id, instanceNumber: INSTANCE })])),
  plain: plainTokenOf({ instanceNumber: INSTANCE }),
  'instance of a platform ID': instanceNumberOf('i-7f3a91c2'),
});

t.test('kept packets are read as what they say', async (t) => {
  for (const kind of KINDS) {
    t.same(decodePacket(keptBytes('packets', kind)), packetOf(kind), kind);
  }
});
