/**
 * @file The text of docs/COMMANDS.md, made from the tables of statements and of error kinds.
 */
import { answerFor, errorKinds, exitCodes } from '../flow/error-kinds.js';
import { commandReference, queryReference, type StatementReference } from './command-reference.js';

const INTRODUCTION = `# Command reference

Made by \`npm run generate\` from the tables in \`src/language\`; not to be edited by hand.

Operators write statements: a command changes something, a query only asks. Words may be written in
upper or lower case; names and IDs may not. Values stand in angle brackets here, parts that may be left
out in square brackets. An error marks the word at fault and lists what would be accepted there:

\`\`\`text
define servic authd
       ^^^^^^
"servic" is not expected; accepted: service.
\`\`\`

Each service has a version, which counts the changes to it and its back ends. A change with
\`based on <version>\` is refused with \`conflict\` where the service is at another version by then.
`;

/**
 * @returns the whole text, in Markdown
 */
export function referenceText(): string {
  return [
    INTRODUCTION,
    '## Commands\n',
    ...commandReference.map(describeStatement),
    '## Queries\n',
    ...queryReference.map(describeStatement),
    '## Exit codes\n',
    describeExitCodes(),
  ].join('\n');
}

function describeStatement({ form, meaning, examples }: StatementReference): string {
  return `### \`${form}\`\n\n${meaning}\n\n\`\`\`text\n${examples.join('\n')}\n\`\`\`\n`;
}

function describeExitCodes(): string {
  const rows = Object.entries(exitCodes).map(([name, code]) => {
    const kinds = errorKinds.filter((kind) => answerFor(kind).exitCode === code);
    const list = kinds.map((kind) => `\`${kind}\``).join(', ');
    return `| ${code} | ${name} | ${list} |`;
  });
  return ['| Exit code | Name | Error kinds |', '| --- | --- | --- |', ...rows, ''].join('\n');
}
