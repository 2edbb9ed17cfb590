/**
 * @file The links that others opened to a process, by the IDs under which its decisions know them.
 */
import type { Branded } from './branded.js';

/** Names a link for as long as the process runs; never used again. */
export type LinkId = Branded<number, 'LinkId'>;

/** Links by their IDs. */
export interface LinkTable<Link extends object> {
  /** @returns the ID of a link, a new one at the first call */
  idOf(link: Link): LinkId;
  find(linkId: number): Link | undefined;
  /** @returns the ID that the link had, or undefined where it never had one */
  remove(link: Link): LinkId | undefined;
  /** All links, in the order in which they came. */
  all(): Iterable<Link>;
  /** Forgets all links; their IDs are not used again. */
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
    const known = ids.get(link);
    if (known !== undefined) {
      return known;
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
