/**
 * Exports only the classes of prom-client that the entry process uses; the rest, which collects process
 * metrics, takes longer to load.
 */

export {default as Counter} from '../node_modules/prom-client/lib/counter.js';
export {default as Gauge} from '../node_modules/prom-client/lib/gauge.js';
export {default as Histogram} from '../node_modules/prom-client/lib/histogram.js';
export {default as Registry} from '../node_modules/prom-client/lib/registry.js';
