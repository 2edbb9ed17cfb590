/**
 * @file Predicates with which the grammar validates the values in a statement.
 */
import { parseAddress } from '../../shared/common/address.js';
import { MAX_NAME_LENGTH, NAME_PATTERN } from '../control/commands.js';

const TIME_PATTERN = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/;

/**
 * @returns true for a valid service or zone name
 */
export function isName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH && NAME_PATTERN.test(text);
}

/**
 * @returns true for an address `IP:PORT`
 */
export function isAddressText(text: string): boolean {
  return parseAddress(text) !== undefined;
}

/**
 * @returns true for a positive safe integer in decimal notation
 */
export function isPositiveInteger(text: string): boolean {
  return /^[1-9]\d*$/.test(text) && Number.isSafeInteger(Number(text));
}

/**
 * @returns true for an ISO 8601 date and time with a UTC offset, not before 1970
 */
export function isTime(text: string): boolean {
  return TIME_PATTERN.test(text) && Date.parse(text) >= 0;
}
