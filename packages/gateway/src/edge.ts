/** Exports only the server for callers and what runs before the host is loaded, so that it loads without the rest of the gateway. */

export {CallerServer} from './edge/caller-server.js';
export {listenWhenFree} from './edge/listen.js';
export {LoopMonitor} from './edge/loop-monitor.js';
