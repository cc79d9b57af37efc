/** The server for callers alone, without all that stands behind it. */

export {CallerEdge} from './edge/caller-edge.js';
