/**
 * @file Publishes notices to all back ends of a service, numbered from 1. A notice that a back end did not accept is retried
 * before the next one; a back end that joins later receives all notices.
 */
import type { Address } from '../../shared/common/address.js';
import { formatAddress } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';

const HTTP_TIMEOUT_MS = 2_000;

/** Publishes to the back ends of one service. */
export class NoticePublisher {
  private readonly payloads: string[] = [];
  /** Number of accepted notices by health address of the back end. */
  private readonly acceptedCounts = new Map<string, number>();

  /**
   * @param backends returns the health addresses of the current back ends
   */
  constructor(private readonly backends: () => readonly Address[]) {}

  /** Publishes one notice; resolves after an attempt to deliver it to each back end. */
  async publish(payload: string): Promise<void> {
    this.payloads.push(payload);
    await this.deliverPending();
  }

  /** Delivers the notices that back ends have not accepted, in order. */
  async deliverPending(): Promise<void> {
    await Promise.all(this.backends().map((backend) => this.deliverTo(backend)));
  }

  private async deliverTo(to: Address): Promise<void> {
    const key = formatAddress(to);
    for (let number = this.acceptedCountOf(key) + 1; number <= this.payloads.length; number += 1) {
      const body = { number, payload: this.payloads[number - 1] };
      const request = { to, method: 'POST', path: '/publish', body } as const;
      const response = await sendJson({ ...request, timeoutMs: HTTP_TIMEOUT_MS });
      if (response.isErr() || response.value.status !== 200) {
        return;
      }
      this.acceptedCounts.set(key, Math.max(number, this.acceptedCountOf(key)));
    }
  }

  private acceptedCountOf(key: string): number {
    return this.acceptedCounts.get(key) ?? 0;
  }
}
