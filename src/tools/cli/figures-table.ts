/**
 * @file Formats results as a table for the terminal.
 */
import Table from 'cli-table3';

/** @returns a table with one row per property */
export function describeFigures(figures: object): string {
  const table = new Table({ head: ['figure', 'value'] });
  for (const [figure, value] of Object.entries(figures) as [string, unknown][]) {
    table.push([figure, describeValue(value)]);
  }
  return table.toString();
}

function describeValue(value: unknown): string {
  if (typeof value === 'number') {
    return Number.isInteger(value) ? String(value) : value.toFixed(2);
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}
