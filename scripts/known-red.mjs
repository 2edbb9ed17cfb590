// Matches test failures against KNOWN-RED.txt, one entry per line: `FILE > TEST CASE: what was seen, command, issue`.
// An entry covers the assertions of its test case only; other failures in the same file are new failures.

/** Separates the file, the enclosing test cases and the assertion in the name of a result. */
const SEPARATOR = ' > ';

/** @returns {{file: string, testCase: string}[]} the entries; throws if a line names no test case */
export function parseKnownRed(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map(parseEntry);
}

function parseEntry(line) {
  const [, file, testCase] = /^(\S+\.test\.js) > (.+?): /.exec(line) ?? [];
  if (file === undefined || testCase === undefined) {
    throw new Error(`KNOWN-RED.txt: line does not start with "FILE > TEST CASE: ": ${line}`);
  }
  return { file, testCase };
}

/** @returns whether a result belongs to the test case of an entry */
function matchesEntry({ file, testCase }, [resultFile = '', ...cases]) {
  return resultFile.endsWith(file) && cases.includes(testCase);
}

/**
 * Separates known failures from new ones.
 * @param {{file: string, testCase: string}[]} entries
 * @param {{name: string, ok: boolean}[]} results the names start with the file
 * @returns known and new failures, and the entries whose test case passed, which should be removed
 */
export function classifyResults(entries, results) {
  const nameParts = ({ name }) => name.split(SEPARATOR);
  const isKnown = (result) => entries.some((entry) => matchesEntry(entry, nameParts(result)));
  const failures = results.filter(({ ok }) => !ok);
  const testCaseFailures = failures.filter((failure) => nameParts(failure).length > 1);
  // A failed file repeats the failures of its test cases; without any, it is a failure in its own right.
  const repeatsKnownFailures = (failure) => {
    const [file] = nameParts(failure);
    const inFile = testCaseFailures.filter((other) => nameParts(other)[0] === file);
    return nameParts(failure).length === 1 && inFile.length > 0 && inFile.every(isKnown);
  };
  const knownFailures = failures.filter(
    (failure) => isKnown(failure) || repeatsKnownFailures(failure),
  );
  const newFailures = failures.filter((failure) => !knownFailures.includes(failure));
  const passingEntries = entries.filter((entry) => {
    const entryResults = results.filter((result) => matchesEntry(entry, nameParts(result)));
    return entryResults.length > 0 && entryResults.every(({ ok }) => ok);
  });
  return { knownFailures, newFailures, passingEntries };
}
