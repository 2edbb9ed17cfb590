// Which failures of a test run are known, by KNOWN-RED.txt: one entry a line, `FILE > TEST CASE: what was seen, command, issue`.
// An entry covers the assertions of that test case alone; another failure in the same file is a new one.

/** Between the parts of a name: the file, the test cases around an assertion, the assertion. */
const SEPARATOR = ' > ';

/** @returns {{file: string, testCase: string}[]} the entries; throws where a line names no test case */
export function parseKnownRed(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map(parseEntry);
}

function parseEntry(line) {
  const [, file, testCase] = /^(\S+\.test\.js) > (.+?): /.exec(line) ?? [];
  if (file === undefined || testCase === undefined) {
    throw new Error(`KNOWN-RED.txt: no "FILE > TEST CASE: " at the begin of: ${line}`);
  }
  return { file, testCase };
}

/** @returns true where a result is of the test case of an entry */
function isOf({ file, testCase }, [resultFile = '', ...cases]) {
  return resultFile.endsWith(file) && cases.includes(testCase);
}

/**
 * Sorts the results of a run.
 * @param {{file: string, testCase: string}[]} entries
 * @param {{name: string, ok: boolean}[]} results names with their parts, the file first
 * @returns known and new failures, and the entries that should leave the list since their test case passed
 */
export function judge(entries, results) {
  const parts = ({ name }) => name.split(SEPARATOR);
  const isKnown = (result) => entries.some((entry) => isOf(entry, parts(result)));
  const failures = results.filter(({ ok }) => !ok);
  const ofCases = failures.filter((failure) => parts(failure).length > 1);
  // The result of a whole file repeats what failed in it; alone it is a failure of its own.
  const repeats = (failure) => {
    const [file] = parts(failure);
    const inFile = ofCases.filter((other) => parts(other)[0] === file);
    return parts(failure).length === 1 && inFile.length > 0 && inFile.every(isKnown);
  };
  const known = failures.filter((failure) => isKnown(failure) || repeats(failure));
  const fresh = failures.filter((failure) => !known.includes(failure));
  const passing = entries.filter((entry) => {
    const own = results.filter((result) => isOf(entry, parts(result)));
    return own.length > 0 && own.every(({ ok }) => ok);
  });
  return { known, fresh, passing };
}
