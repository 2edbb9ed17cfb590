/**
 * @file Decides when the log is compacted into a snapshot. A restart reads the whole log, so both the number and the size
 * of its entries are limited.
 */

const SNAPSHOT_THRESHOLD_BYTES = 2 * 1024 * 1024;
const SNAPSHOT_THRESHOLD_ENTRIES = 256;

/**
 * @param entries number of committed entries since the last snapshot
 * @param configBytes size of the current configuration document; estimates the size of an entry
 */
export function isSnapshotDue(entries: number, configBytes: number): boolean {
  const bytes = entries * configBytes;
  return (
    entries >= SNAPSHOT_THRESHOLD_ENTRIES || (entries > 0 && bytes >= SNAPSHOT_THRESHOLD_BYTES)
  );
}
