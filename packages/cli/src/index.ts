/** The operators' tool. */

export {runCommandLine} from './command-line.js';
