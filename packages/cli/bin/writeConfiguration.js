import { writeFile } from 'node:fs/promises';

import { formatConfiguration } from '../dist/src/documentation/formatConfiguration.js';

await writeFile(new URL('../../../docs/CONFIGURATION.md', import.meta.url), formatConfiguration());
