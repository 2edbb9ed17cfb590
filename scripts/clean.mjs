// Removes earlier build output, so that tests of deleted sources do not run.
import { rmSync } from 'node:fs';

rmSync('dist', { recursive: true, force: true });
