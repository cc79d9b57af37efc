/** Exports only what limits the reads of a server, so that it loads without the rest of the package. */

export {limitConnections} from './http/limit-connections.js';
export {RequestPacer} from './http/request-pacer.js';
export {
	processReadSchedule,
	type ReadSchedule,
} from './upstream/read-schedule.js';
