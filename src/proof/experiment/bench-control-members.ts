/**
 * @file Changes of the control machines during measurements, over the interface that operators use.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '../../shared/common/address.js';
import type { ControlStatus } from '../../managed/control/control-status.js';
import type { MemberCommand } from '../../managed/control/control-events.js';
import { sendJson } from '../../managed/daemon/http-json.js';

/** The admin token of all control machines of a bench. */
export const ADMIN_TOKEN = 'bench-admin-token';

const HTTP_OK = 200;
const HTTP_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 20;
const MAX_ATTEMPTS = 500;

/**
 * Takes in a machine that announces itself, as a voter.
 * @param leader operator address of the leader
 */
export async function addVoter(leader: Address, nodeId: string): Promise<void> {
  await changeMembers(leader, { type: 'add-member', nodeId });
  await changeMembers(leader, { type: 'promote-member', nodeId });
}

/** @returns the cluster as one machine knows it; undefined where it does not answer */
export async function memberStatus(to: Address): Promise<ControlStatus | undefined> {
  const response = await request(to, 'GET');
  return response.isOk() && response.value.status === HTTP_OK
    ? (response.value.body as ControlStatus)
    : undefined;
}

/** The machine announces itself and catches up on its own, so the change is tried until it applies. */
async function changeMembers(leader: Address, command: MemberCommand): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const response = await request(leader, 'POST', command);
    if (response.isOk() && response.value.status === HTTP_OK) {
      return;
    }
    await sleep(RETRY_DELAY_MS);
  }
  throw new Error(`The member ${command.nodeId} could not be changed.`);
}

function request(to: Address, method: 'GET' | 'POST', body?: MemberCommand) {
  const path = '/v1/members';
  return sendJson({ to, method, path, body, bearerToken: ADMIN_TOKEN, timeoutMs: HTTP_TIMEOUT_MS });
}
