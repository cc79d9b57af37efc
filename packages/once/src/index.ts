/** At most one run for each non-idempotent request. */

export {getKeyTimeMs, isTimedKey, normaliseKey} from './key/timed-key.js';
