/** Bundles each binary into `dist/`, one file per binary, so that a host needs no node_modules. */
import { deploymentOptions } from './bundle-options.mjs';
import { bundlePrograms } from './bundle-programs.mjs';

const names = await bundlePrograms('src/bin', 'dist');
const platformNames = await bundlePrograms('platform/bin', 'dist/platform');
// The same programs as on the platform's machines, for tests.
const deployedNames = await bundlePrograms('platform/bin', 'dist/deployment', deploymentOptions);
const count = names.length + platformNames.length + deployedNames.length;
console.log(`built ${count} programs into dist/`);
