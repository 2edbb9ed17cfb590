/**
 * @file Checks of single words, which the grammar asks before it takes a word as a value.
 */
import { parseAddress } from '../../shared/common/address.js';
import { MAX_NAME_LENGTH, NAME_PATTERN } from '../control/commands.js';

const TIME_PATTERN = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/;

/**
 * @returns true for a name of a service or zone
 */
export function isName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH && NAME_PATTERN.test(text);
}

/**
 * @returns true for `IP:PORT`
 */
export function isAddressText(text: string): boolean {
  return parseAddress(text) !== undefined;
}

/**
 * @returns true for an integer from 1 on that a number holds exactly
 */
export function isPositiveInteger(text: string): boolean {
  return /^[1-9]\d*$/.test(text) && Number.isSafeInteger(Number(text));
}

/**
 * @returns true for a point in time with its offset from UTC, from 1970 on
 */
export function isTime(text: string): boolean {
  return TIME_PATTERN.test(text) && Date.parse(text) >= 0;
}
