/** Exports only the parts of undici that the entry process uses; the whole package takes twice as long to load. */

export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
export {default as buildConnector} from '../node_modules/undici/lib/core/connect.js';
