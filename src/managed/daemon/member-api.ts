/**
 * @file The API for membership changes of the control cluster, HTTP with JSON.
 *
 * `GET /v1/members` lists the members and the machines that ask to join, as seen by this machine.
 * `POST /v1/members` with `{type, nodeId}` adds a learner, promotes one that has caught up, or removes a
 * member. Both require `Authorization: Bearer TOKEN` with the admin token from the settings.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { operatorTokenHash } from '../control/command-hash.js';
import type { CommandOutcome } from '../control/commands.js';
import { controlStatus, type ControlStatus } from '../control/control-status.js';
import type { MemberCommand } from '../control/control-events.js';
import type { ControlState } from '../control/control-step.js';
import { amberliftError } from '../../shared/common/error-kinds.js';
import { readJsonBody } from './http-json.js';
import { respondJson } from '../../shared/daemon/json-response.js';
import { respondError } from './operator-api.js';

const MEMBERS_PATH = '/v1/members';
const memberCommandSchema = z.strictObject({
  type: z.enum(['add-member', 'promote-member', 'remove-member']),
  nodeId: z.string().min(1),
});

/** The functions of the control machine that the API uses. */
interface MemberApiOptions {
  readonly state: ControlState;
  /** Undefined disables the API. */
  readonly adminToken: string | undefined;
  nowMs(): number;
  changeMembers(command: MemberCommand): Promise<CommandOutcome>;
}

/**
 * @param next handles requests with another path
 * @returns the request listener of the member API
 */
export function memberApi(options: MemberApiOptions, next: RequestListener): RequestListener {
  return (incoming, response) => {
    if (incoming.url !== MEMBERS_PATH) {
      next(incoming, response);
      return;
    }
    handle(options, incoming, response).catch((cause: unknown) =>
      respondError(response, amberliftError('internal', String(cause))),
    );
  };
}

async function handle(
  options: MemberApiOptions,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (!isAdmin(options.adminToken, incoming)) {
    respondError(response, amberliftError('unauthorized', 'Missing or invalid admin token'));
    return;
  }
  if (incoming.method === 'GET') {
    const status: ControlStatus = controlStatus(options.state, options.nowMs());
    respondJson(response, 200, status);
    return;
  }
  if (incoming.method !== 'POST') {
    respondError(response, amberliftError('not-found', 'Unknown endpoint'));
    return;
  }
  const body = await readJsonBody(incoming);
  const command = body.map((value) => memberCommandSchema.safeParse(value));
  if (command.isErr() || !command.value.success) {
    const message =
      'Request body must be {"type": "add-member" | "promote-member" | "remove-member", "nodeId": "..."}';
    respondError(response, amberliftError('invalid-command', message));
    return;
  }
  const outcome = await options.changeMembers(command.value.data);
  if (outcome.accepted) {
    respondJson(response, 200, outcome);
  } else {
    respondError(response, outcome.error, outcome.leader);
  }
}

/** Compares hashes, since a constant-time comparison needs inputs of equal length. */
function isAdmin(adminToken: string | undefined, incoming: IncomingMessage): boolean {
  const token = /^Bearer (.+)$/.exec(incoming.headers.authorization ?? '')?.[1] ?? '';
  return (
    adminToken !== undefined &&
    timingSafeEqual(
      Buffer.from(operatorTokenHash(token)),
      Buffer.from(operatorTokenHash(adminToken)),
    )
  );
}
