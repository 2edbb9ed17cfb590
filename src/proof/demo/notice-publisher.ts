/**
 * @file The publisher of a service's notices: numbers them from 1 on and hands each to all back ends
 * of the service. What a back end did not accept is handed to it again before the next one, and a back
 * end that joined later gets all.
 */
import type { Address } from '../../shared/common/address.js';
import { formatAddress } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';

const HTTP_TIMEOUT_MS = 2_000;

/** Publishes to the back ends of one service. */
export class NoticePublisher {
  private readonly payloads: string[] = [];
  /** How many notices each back end has accepted, by its health address. */
  private readonly taken = new Map<string, number>();

  /**
   * @param backends returns the health addresses of the present back ends
   */
  constructor(private readonly backends: () => readonly Address[]) {}

  /** Publishes one notice; resolves once every back end was asked to accept it. */
  async publish(payload: string): Promise<void> {
    this.payloads.push(payload);
    await this.repeat();
  }

  /** Hands over what back ends have not accepted. */
  async repeat(): Promise<void> {
    await Promise.all(this.backends().map((backend) => this.handOver(backend)));
  }

  private async handOver(to: Address): Promise<void> {
    const key = formatAddress(to);
    for (let number = this.takenBy(key) + 1; number <= this.payloads.length; number += 1) {
      const body = { number, payload: this.payloads[number - 1] };
      const request = { to, method: 'POST', path: '/publish', body } as const;
      const response = await sendJson({ ...request, timeoutMs: HTTP_TIMEOUT_MS });
      if (response.isErr() || response.value.status !== 200) {
        return;
      }
      this.taken.set(key, Math.max(number, this.takenBy(key)));
    }
  }

  private takenBy(key: string): number {
    return this.taken.get(key) ?? 0;
  }
}
