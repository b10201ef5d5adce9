/** Bundles the programs for the platform into `target/`; one file a program. */
import { bundlePrograms } from './bundle-programs.mjs';

const names = await bundlePrograms('platform/bin', 'target');
console.log(`built ${names.length} programs into target/`);
