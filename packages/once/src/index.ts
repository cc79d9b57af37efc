/** At most one run for each non-idempotent request. */

export {FleetClock} from './fleet/fleet-clock.js';
export {
	KeyKeeper,
	type KeyDecision,
	type KeyKeeperOptions,
	type KeyRequest,
} from './keeper/key-keeper.js';
export {KeyMaker} from './key/key-maker.js';
export {getKeyTimeMs, isTimedKey, normaliseKey} from './key/timed-key.js';
export type {KeptAnswer, KeyRecord, RunEnd} from './records/key-record.js';
export {
	RecordBook,
	usualRecordBounds,
	type RecordBounds,
} from './records/record-book.js';
export {allBuckets, getBucket, type Bucket} from './tenure/bucket.js';
export {BucketSet} from './tenure/bucket-set.js';
export {Grantor, type Claim, type GrantorOptions} from './tenure/grantor.js';
export {getHome} from './tenure/home.js';
export {getQuorum} from './tenure/quorum.js';
export {
	TenureHolder,
	type Grants,
	type Tenure,
} from './tenure/tenure-holder.js';
export {usualPolicy, type TenurePolicy} from './tenure/tenure-policy.js';
