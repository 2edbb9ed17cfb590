/**
 * @file Reads the logs given to a command: one file per process, or standard input.
 */
import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import { parseLogLine, type LogLine } from '../toolbox/log-line.js';

const STANDARD_INPUT = 0;

/** @returns the lines of all files, or of standard input if no files are given */
export function readLogs(files: readonly string[]): LogLine[] {
  return files.length === 0
    ? readLines(STANDARD_INPUT, 'standard input')
    : files.flatMap((file) => readLines(file, basename(file).replace(/\.log$/, '')));
}

function readLines(file: string | number, name: string): LogLine[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .flatMap((text, index) => parseLogLine(text, name, index + 1) ?? []);
}
