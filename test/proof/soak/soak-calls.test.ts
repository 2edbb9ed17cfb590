/** @file A call sent over HTTP is parsed as the same call, also for a restarted back end. */
import t from 'tap';
import { createDeclaredApi } from '../../../src/registered/daemon/declared-api.js';
import type { GroupCall } from '../../../src/registered/daemon/group-process.js';
import { requestFor } from '../../../src/proof/soak/soak-calls.js';

const TO = { host: '127.0.0.1', port: 7_000 };
const TOKEN = 'token';

/** @returns the call that a control machine parses from the request */
function parseRequestOf(call: GroupCall) {
  const { method, path, body } = requestFor(call, TO, TOKEN);
  const text = body === undefined ? '' : JSON.stringify(body);
  return createDeclaredApi(TOKEN)({ method, path, body: text, bearerToken: TOKEN });
}

for (const id of ['backend-1', 'backend-1#35130']) {
  t.test(`calls of ${id}`, async (t) => {
    const heartbeat: GroupCall = {
      type: 'heartbeat',
      isDraining: true,
      record: {
        id,
        instanceNumber: '00000000000000a1',
        service: 'alpha',
        address: { host: '127.0.0.1', port: 9_000 },
        zone: 'zone-a',
        capacity: 2,
        warmUpLeftMs: 500,
        sequence: 3,
      },
    };
    t.same(parseRequestOf(heartbeat), { type: 'call', call: heartbeat });
    const departure: GroupCall = { type: 'deregister', backendId: id };
    t.same(parseRequestOf(departure), { type: 'call', call: departure });
  });
}
