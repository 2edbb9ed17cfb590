/**
 * @file Parses command-line flags whose value is an address.
 */
import { parseAddress, type Address } from '../../shared/common/address.js';

/**
 * @param flag name of the flag, for the error message
 * @param text `IP:PORT`
 * @returns the address
 * @throws TypeError if the text is not an address; `main` reports it as a usage error
 */
export function addressFlag(flag: string, text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) {
    throw new TypeError(`--${flag} ${text}: expected IP:PORT, such as 127.0.0.1:7000.`);
  }
  return address;
}
