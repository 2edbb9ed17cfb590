/**
 * @file Outbound links from a simulated control machine to the others: the dialer of the product on
 * virtual links.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createOutboundLinks, type OutboundLinks } from '../../shared/common/outbound-links.js';
import type { Simulation } from './simulation.js';
import { connectVirtualLink, type VirtualLinkEnd } from '../virtual/virtual-links.js';

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

/**
 * @param host host that opens the links
 * @returns outbound links that are retried with exponential delays, as in the daemon
 */
export function createSimulatedPeerLinks(
  simulation: Simulation,
  host: string,
): OutboundLinks<VirtualLinkEnd> {
  return createOutboundLinks({
    nowMs: () => simulation.nowMs,
    dial: (to, onClose) => dial(simulation, host, to, onClose),
    firstRetryDelayMs: FIRST_RETRY_DELAY_MS,
    maxRetryDelayMs: MAX_RETRY_DELAY_MS,
  });
}

function dial(
  { clock, network, linkListeners }: Simulation,
  host: string,
  to: Address,
  onClose: () => void,
): VirtualLinkEnd | undefined {
  const listener = linkListeners.get(formatAddress(to));
  if (listener?.isListening() !== true || network.isCut(host, to.host)) {
    return undefined;
  }
  const hosts = { near: host, far: listener.host };
  const acceptor = listener.accept();
  const near = { onMessage: () => undefined, onClose };
  const pair = connectVirtualLink(clock, network, hosts, near, acceptor);
  acceptor.opened(pair.far);
  return pair.near;
}
