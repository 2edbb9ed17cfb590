/**
 * @file Table of the inbound links of a process; decision steps refer to links by ID.
 */
import type { Branded } from './branded.js';

/** Unique ID of a link within a process; never reused. */
export type LinkId = Branded<number, 'LinkId'>;

/** Links by their IDs. */
export interface LinkTable<Link extends object> {
  /** @returns the ID of a link; the first call for a link adds it to the table */
  idOf(link: Link): LinkId;
  find(linkId: number): Link | undefined;
  /** @returns the ID of the removed link, or undefined if the table doesn't contain it */
  remove(link: Link): LinkId | undefined;
  /** All links, in the order in which they were added. */
  all(): Iterable<Link>;
  /** Removes all links; their IDs are not reused. */
  clear(): void;
}

/**
 * @returns an empty table
 */
export function createLinkTable<Link extends object>(): LinkTable<Link> {
  const ids = new Map<Link, LinkId>();
  const links = new Map<number, Link>();
  let nextId = 1;

  return { idOf, find: (linkId) => links.get(linkId), remove, all: () => links.values(), clear };

  function idOf(link: Link): LinkId {
    const existing = ids.get(link);
    if (existing !== undefined) {
      return existing;
    }
    const linkId = nextId as LinkId;
    nextId += 1;
    ids.set(link, linkId);
    links.set(linkId, link);
    return linkId;
  }

  function remove(link: Link): LinkId | undefined {
    const linkId = ids.get(link);
    if (linkId !== undefined) {
      ids.delete(link);
      links.delete(linkId);
    }
    return linkId;
  }

  function clear(): void {
    ids.clear();
    links.clear();
  }
}
