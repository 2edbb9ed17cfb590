#!/usr/bin/env node
import { main } from '../dist/src/tools/cli/main.js';

await main(process.argv);
