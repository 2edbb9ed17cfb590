/**
 * @file When is the log replaced by a snapshot?
 *
 * Inputs: how many entries are committed behind the last snapshot, and the size of the configuration document, in
 * bytes, as the measure of an entry. Returns a boolean. Reason: a restart reads the whole log, and entries with whole
 * configurations are large while the state holds one of them.
 */

/** A snapshot is taken after so many bytes of entries. Not measured; too large would show as slow restarts. */
const SNAPSHOT_AFTER_BYTES = 2 * 1024 * 1024;
/** ... or after so many entries. Not measured; too few would show as commits that wait for the write of a snapshot. */
const SNAPSHOT_AFTER_ENTRIES = 256;

/**
 * @param entries that are committed behind the last snapshot
 * @param configBytes size of the configuration document that holds
 */
export function isSnapshotDue(entries: number, configBytes: number): boolean {
  const bytes = entries * configBytes;
  return entries >= SNAPSHOT_AFTER_ENTRIES || (entries > 0 && bytes >= SNAPSHOT_AFTER_BYTES);
}
