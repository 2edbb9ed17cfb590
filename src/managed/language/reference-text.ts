/**
 * @file Generates the text of docs/COMMANDS.md from the tables of statements and error kinds.
 */
import { answerFor, errorKinds, exitCodes } from '../../shared/common/error-kinds.js';
import {
  commandReference,
  ctlOptions,
  queryReference,
  type StatementReference,
} from './command-reference.js';

const INTRODUCTION = `# Command reference

Made by \`npm run generate\` from the tables in \`src/managed/language\`; not to be edited by hand.

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

const CLIENT = `## The client

\`amberlift ctl\` runs one statement, the statements of a file, or a prompt where it is given neither. At the
prompt the tab key completes, the cursor keys go through the history, \`help\` tells how statements begin, and
\`exit\` ends.

\`\`\`sh
amberlift ctl --control 127.0.0.1:7100 --token-file token.txt show services
amberlift ctl --control 127.0.0.1:7100 --token-file token.txt --wait 10 drain backend 12
amberlift ctl --control 127.0.0.1:7100 --token-file token.txt --file setup.txt --command-id setup-1
\`\`\`

A file has one statement a line; empty lines and lines that begin with \`#\` are left out. It ends at the first
statement that fails. Its commands are sent as \`ID-LINE\`, so a file that broke off can be run again with the
same \`--command-id\`, and nothing is applied twice.

Every command has an ID; the client makes one where none is given. Where no control machine answers, the
client prints the ID with which to send the command again. An ID that the client makes is known for 24 hours.
`;

/**
 * @returns the whole document in Markdown
 */
export function referenceText(): string {
  return [
    INTRODUCTION,
    '## Commands\n',
    ...commandReference.map(describeStatement),
    '## Queries\n',
    ...queryReference.map(describeStatement),
    CLIENT,
    describeOptions(),
    '## Exit codes\n',
    describeExitCodes(),
  ].join('\n');
}

function describeStatement({ form, meaning, examples }: StatementReference): string {
  return `### \`${form}\`\n\n${meaning}\n\n\`\`\`text\n${examples.join('\n')}\n\`\`\`\n`;
}

function describeOptions(): string {
  const rows = ctlOptions.map(({ flag, meaning }) => `| \`${flag}\` | ${meaning} |`);
  return ['| Option | Meaning |', '| --- | --- |', ...rows, ''].join('\n');
}

function describeExitCodes(): string {
  const rows = Object.entries(exitCodes).map(([name, code]) => {
    const kinds = errorKinds.filter((kind) => answerFor(kind).exitCode === code);
    const list = kinds.map((kind) => `\`${kind}\``).join(', ');
    return `| ${code} | ${name} | ${list} |`;
  });
  return ['| Exit code | Name | Error kinds |', '| --- | --- | --- |', ...rows, ''].join('\n');
}
