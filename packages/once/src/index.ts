/** Executes each request that has an idempotency key at most once. */

export {FleetClock} from './fleet/fleet-clock.js';
export {
	KeyKeeper,
	type KeyDecision,
	type IdempotencyGuardOptions,
	type KeyRequest,
} from './idempotency/idempotency-guard.js';
export {KeyMaker} from './key/key-generator.js';
export {
	getKeyTimestampMs,
	isTimedKey,
	normaliseKey,
} from './key/uuid-v7-key.js';
export type {KeptAnswer, KeyRecord, RunEnd} from './records/key-record.js';
export {
	RecordBook,
	usualRecordBounds,
	type RecordLimits,
} from './records/key-record-store.js';
export {allBuckets, getBucket, type Bucket} from './lease/bucket.js';
export {BucketSet} from './lease/bucket-set.js';
export {
	Grantor,
	type Claim,
	type LeaseGrantorOptions,
} from './lease/lease-grantor.js';
export {getHome} from './lease/key-owner.js';
export {getQuorum} from './lease/quorum.js';
export {TenureHolder, type Grants, type Lease} from './lease/lease-holder.js';
export {usualPolicy, type TenurePolicy} from './lease/lease-policy.js';
