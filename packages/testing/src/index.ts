/** Test utilities for all packages. */

export {describe, it} from './describe.js';
export {isKnownRed, knownRedNames} from './known-red.js';
export {getFreePorts} from './get-free-ports.js';
export {sendAtRate} from './send-at-rate.js';
