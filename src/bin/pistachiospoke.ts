/** Entry point of the operators' command line. */
import { createProcessEnvironment, runCommandLine } from '../cli/index.js';

process.exitCode = await runCommandLine(process.argv.slice(2), createProcessEnvironment());
