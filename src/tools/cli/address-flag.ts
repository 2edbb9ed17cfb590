/**
 * @file Parses a flag that is an address, `host:port`; refuses anything else with the name of the flag.
 */
import { parseAddress, type Address } from '../../shared/common/address.js';

/**
 * @param flag name of the flag, for the error message
 * @param text `IP:PORT`
 * @returns the address; throws where the text is none, which ends the command as a usage error
 */
export function addressFlag(flag: string, text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) {
    throw new TypeError(`--${flag} ${text}: allowed is IP:PORT, such as 127.0.0.1:7000.`);
  }
  return address;
}
