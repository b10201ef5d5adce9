/** Bundles the programs for the platform into `target/`, one file per program. */
import { deploymentOptions } from './bundle-options.mjs';
import { bundlePrograms } from './bundle-programs.mjs';

const names = await bundlePrograms('platform/bin', 'target', deploymentOptions);
console.log(`built ${names.length} programs into target/`);
