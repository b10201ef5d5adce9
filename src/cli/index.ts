export { createProcessEnvironment, type CommandLineEnvironment } from './environment.js';
export { exitCodes, type ExitCode } from './exit-codes.js';
export { runCommandLine } from './program.js';
