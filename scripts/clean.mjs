// Removes what an earlier build left, so that no test runs whose source is gone.
import { rmSync } from 'node:fs';

rmSync('dist', { recursive: true, force: true });
