/** Exports only what limits the reads of a server, so that it loads without the rest of the package. */

export {RequestPacer} from './http/request-pacer.js';
