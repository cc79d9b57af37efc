/** Exports only the server for callers, so that it loads without the rest of the gateway. */

export {CallerServer} from './edge/caller-server.js';
